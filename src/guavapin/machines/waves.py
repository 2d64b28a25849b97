"""Tracks the progress of maintenance waves and the statuses to store for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from guavapin.machines.model import MaintenanceWave
    from guavapin.settings.resident import Times

# Time between the end of one machine's maintenance and the start of the next one's,
# in which the list must show the first machine as up and the second must be drained.
TURNAROUND_MS = 600

# Reserve before the end of a wave, by which its last maintenance should be over.
DEADLINE_RESERVE_MS = 3_000


class WaveProgress:
    """Progress of one wave.

    `started` has the start of each machine's maintenance in milliseconds, 0 if it began
    under an earlier scheduler. `ordered` are the machines with an order, answered or
    not.
    """

    def __init__(self, wave: MaintenanceWave, times: Times, now_ms: int) -> None:
        self.wave = wave
        self.started: dict[str, int] = {}
        self.ordered: set[str] = set()
        self.is_running_stored = False
        self.is_done_stored = False
        self.is_status_pending = False
        # Value of the wave for which the last status was written.
        self.judged = wave
        self._times = times
        self._due_ms = now_ms + wave.duration_ms

    def remaining(self, existing: Collection[str]) -> list[str]:
        """Return the wave's `existing` machines whose maintenance has not started."""
        return [
            name
            for name in self.wave.machines
            if name not in self.started and name in existing
        ]

    def machines_down(
        self,
        existing: Collection[str],
        listed_down: Collection[str],
        ordered_before: Collection[str],
        now_ms: int,
    ) -> set[str]:
        """Return the machines of the wave that may be down for maintenance now.

        `listed_down` are the machines that the platform lists as in maintenance, which
        an earlier scheduler may have ordered. Machines with an unanswered order count
        as down too, unless the machine no longer exists: those that were ordered in
        this term, and `ordered_before` it.
        """
        down = {
            name
            for name, started_ms in self.started.items()
            if started_ms and now_ms < started_ms + self._downtime_ms
        }
        unanswered = self.ordered | (set(ordered_before) & set(self.wave.machines))
        down |= (unanswered - self.started.keys()) & set(existing)
        down |= set(listed_down) & set(self.wave.machines)
        return down

    def orders_allowed(self, down: set[str], due: set[str]) -> int:
        """Return how many machines of `due` may be ordered, those of `down` first.

        The order for a machine that counts as down takes down no further one, unless
        more machines than the cap may go down already.
        """
        further = self.wave.max_at_once - len(down)
        return further + len(down & due) if further >= 0 else 0

    def replace(self, wave: MaintenanceWave) -> None:
        """Apply a new value of the wave, which counts from its first reading.

        A wave with a machine whose maintenance has not started is not done any more.
        """
        self._due_ms += wave.duration_ms - self.wave.duration_ms
        self.wave = wave
        if self.is_done_stored and not self.started.keys() >= set(wave.machines):
            self.is_done_stored = self.is_running_stored = False

    def limit_due(self, due_ms: int) -> None:
        """Set the time at which the wave is due, if it is before the known one."""
        self._due_ms = min(self._due_ms, due_ms)

    @property
    def _downtime_ms(self) -> int:
        return self._times.maintenance_ms + TURNAROUND_MS

    def is_urgent(self, remaining: int, now_ms: int) -> bool:
        """Return whether `remaining` machines can no longer wait for running work."""
        rounds = -(-remaining // self.wave.max_at_once)
        needed_ms = rounds * self._downtime_ms
        return now_ms + needed_ms + DEADLINE_RESERVE_MS >= self._due_ms


class WaveTracker:
    """All waves that were read during a term."""

    def __init__(self, times: Times) -> None:
        self._times = times
        self._waves: dict[int, WaveProgress] = {}
        # Machines by wave whose maintenance started under an earlier scheduler. These
        # records may be read before the wave itself.
        self._maintained: dict[int, set[str]] = {}
        # Times at which waves are due that an earlier scheduler has read first.
        self._due_ms: dict[int, int] = {}

    def add(self, wave: MaintenanceWave, now_ms: int) -> bool:
        """Add a wave, or apply a new value of a known one; return whether it is new."""
        known = self._waves.get(wave.number)
        if known is not None:
            if known.wave != wave:
                known.replace(wave)
            return False
        progress = WaveProgress(wave, self._times, now_ms)
        self._waves[wave.number] = progress
        for machine in self._maintained.get(wave.number, ()):
            progress.started[machine] = 0
        if wave.number in self._due_ms:
            progress.limit_due(self._due_ms[wave.number])
        return True

    def remove(self, number: int) -> None:
        """Remove a wave; maintenance that started counts if it is added again."""
        wave = self._waves.pop(number, None)
        if wave is not None:
            self._maintained.setdefault(number, set()).update(wave.started)

    @property
    def numbers(self) -> frozenset[int]:
        """The numbers of the known waves."""
        return frozenset(self._waves)

    def includes(self, number: int, machine: str) -> bool:
        """Return whether a wave is known and has a machine at present."""
        wave = self._waves.get(number)
        return wave is not None and machine in wave.wave.machines

    def limit_due(self, number: int, due_ms: int) -> None:
        """Set the time at which a wave is due that an earlier scheduler has read.

        A wave has no start time of its own, so without this one each takeover would
        give it its whole duration again.
        """
        self._due_ms[number] = due_ms
        wave = self._waves.get(number)
        if wave is not None:
            wave.limit_due(due_ms)

    def open_waves(self) -> list[WaveProgress]:
        """Return the waves without a stored status of done, in order of number."""
        return [
            wave for _, wave in sorted(self._waves.items()) if not wave.is_done_stored
        ]

    def add_maintained(self, number: int, machine: str) -> None:
        """Add a machine whose maintenance started under an earlier scheduler."""
        self._maintained.setdefault(number, set()).add(machine)
        wave = self._waves.get(number)
        if wave is not None:
            wave.started.setdefault(machine, 0)

    def record_order(self, number: int, machine: str) -> None:
        """Record that a machine of a wave is ordered to maintenance."""
        wave = self._waves.get(number)
        if wave is not None:
            wave.ordered.add(machine)

    def cancel_order(self, number: int, machine: str) -> None:
        """Record that an order has had no effect and is not repeated."""
        wave = self._waves.get(number)
        if wave is not None:
            wave.ordered.discard(machine)

    def record_start(self, number: int, machine: str, now_ms: int) -> None:
        """Record that the maintenance of a machine started; a repeat has no effect."""
        wave = self._waves.get(number)
        if wave is not None:
            wave.started.setdefault(machine, now_ms)

    def record_status_write(self, number: int, is_done: bool, is_written: bool) -> None:
        """Record whether the store accepted a status, so that a failure is retried."""
        wave = self._waves.get(number)
        if wave is None:
            return
        wave.is_status_pending = False
        if is_written and is_done and wave.judged != wave.wave:
            # The operator has changed the wave meanwhile, so that it may be running.
            wave.is_running_stored = False
            return
        wave.is_running_stored |= is_written
        wave.is_done_stored |= is_written and is_done

    def statuses(self, existing: Collection[str]) -> tuple[tuple[int, bool], ...]:
        """Return the statuses to write, as pairs of wave and whether it is done."""
        due = []
        for number, wave in self._waves.items():
            if wave.is_status_pending or wave.is_done_stored:
                continue
            is_done = bool(existing) and not wave.remaining(existing)
            if is_done or not wave.is_running_stored:
                wave.is_status_pending = True
                wave.judged = wave.wave
                due.append((number, is_done))
        return tuple(due)
