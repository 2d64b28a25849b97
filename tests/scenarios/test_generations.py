"""The monitor of generations reports falls, and only those of one process."""

from __future__ import annotations

from concurrent.futures import Future
from types import SimpleNamespace

from guavapin_scenarios.generations import GenerationMonitor


class Kernel:
    """Kernel of an entry process that has a generation in force."""

    def __init__(self, generation: int) -> None:
        self.generation = generation

    def ask(self, service: str, message: object) -> Future:
        fut: Future = Future()
        fut.set_result(SimpleNamespace(generation=self.generation))
        return fut


def test_a_process_started_anew_is_not_compared_with_the_one_before() -> None:
    # Guards against a false alarm: the new process got the memory address, and with it
    # the `id`, of the previous one. Seen once in the scenario in which the platform is
    # down while entry processes restart.
    monitor = GenerationMonitor(SimpleNamespace(entries={}))
    for _ in range(20):
        for generation in (1, 0):
            entry = SimpleNamespace(kernel=Kernel(generation))
            monitor._check_entry("e0", entry)
            del entry
    assert monitor.reverted == []


def test_a_fall_within_one_process_is_reported() -> None:
    # Guards against a monitor that cannot report anything.
    monitor = GenerationMonitor(SimpleNamespace(entries={}))
    entry = SimpleNamespace(kernel=Kernel(2))
    monitor._check_entry("e0", entry)
    entry.kernel.generation = 1
    monitor._check_entry("e0", entry)
    assert monitor.reverted == ["e0: generation 2, then 1"]
