"""How long the threads of a process that serve requests wait for a processor.

A check of times on a busy machine must not take this wait for a fault of the process. A
thread that blocks, sleeps, or waits for a lock of its own process does not wait for a
processor, so that nothing of that is excused.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass
from pathlib import Path

from guavapin.kernel import SystemClock

# Time between two looks at a thread. A thread that runs uses processor time meanwhile.
LOOK_S = 0.02

_PAUSE = threading.Event()


@dataclass(frozen=True, slots=True)
class ThreadTimes:
    """Times of a thread on a processor and in the queue for one, in ns.

    The kernel adds a wait to `waited_ns` when it ends.
    """

    is_runnable: bool
    ran_ns: int
    waited_ns: int


def read_threads(pid: int) -> dict[str, ThreadTimes]:
    """Return the times of each thread but the main one, which serves no requests.

    Empty if the process has ended, or if the system does not count these times.
    """
    threads = {}
    for folder in Path(f"/proc/{pid}/task").glob("*"):
        if folder.name == str(pid):
            continue
        try:
            state = (folder / "stat").read_text().rpartition(")")[2].split()[0]
            ran, waited, _ = (folder / "schedstat").read_text().split()
        except (OSError, ValueError):
            continue
        threads[folder.name] = ThreadTimes(state == "R", int(ran), int(waited))
    return threads


def longest_wait_ms(
    before: dict[str, ThreadTimes], after: dict[str, ThreadTimes]
) -> int:
    """Return the longest time for which a thread waited between two looks, in ms."""
    waits_ns = [
        times.waited_ns - before[name].waited_ns
        for name, times in after.items()
        if name in before
    ]
    return max(waits_ns, default=0) // 1_000_000


def has_waiting_thread(
    before: dict[str, ThreadTimes], after: dict[str, ThreadTimes]
) -> bool:
    """Whether a thread has waited for a processor during all of `LOOK_S`."""
    return any(
        times.is_runnable and before.get(name) == times for name, times in after.items()
    )


class ProcessorWait:
    """The wait of a process's threads since the construction of this object."""

    def __init__(self, pid: int) -> None:
        self._clock = SystemClock()
        self._began_ms = self._clock.now_ms()
        self._pid = pid
        self._began = read_threads(pid)

    def measure_ms(self) -> int:
        """Return the longest wait of a thread; a wait in progress is awaited first."""
        threads = read_threads(self._pid)
        while threads:
            _PAUSE.wait(LOOK_S)
            before, threads = threads, read_threads(self._pid)
            if not has_waiting_thread(before, threads):
                break
        # A wait may have begun before this object.
        elapsed_ms = self._clock.now_ms() - self._began_ms
        return min(longest_wait_ms(self._began, threads), elapsed_ms)
