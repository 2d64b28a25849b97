"""Which machines of a maintenance wave are still due, and what is said of the wave."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from guavapin.machines.model import MaintenanceWave
    from guavapin.settings.resident import Times

# Time between the end of one machine's maintenance and the start of the next one's:
# the list has to show the first and the second has to be empty.
TURNAROUND_MS = 600

# A wave is kept this far ahead of its end.
DEADLINE_RESERVE_MS = 3_000


class WaveProgress:
    """A wave and how far it has come."""

    def __init__(self, wave: MaintenanceWave, times: Times, now_ms: int) -> None:
        self.wave = wave
        self.started: dict[str, int] = {}
        self.ordered: set[str] = set()
        self.is_running_stored = False
        self.is_done_stored = False
        self.is_status_pending = False
        self._times = times
        self._due_ms = now_ms + wave.duration_ms

    def remaining(self, existing: Collection[str]) -> list[str]:
        """Return machines whose maintenance has not begun and that still exist."""
        return [
            name
            for name in self.wave.machines
            if name not in self.started and name in existing
        ]

    def disruptions_allowed(
        self, existing: Collection[str], listed_down: Collection[str], now_ms: int
    ) -> int:
        """Return how many more machines may be down.

        `listed_down` are the machines that the platform lists as in maintenance, which
        an earlier scheduler may have ordered. Unanswered orders count too, unless
        their machine has been removed for good.
        """
        down = {
            name
            for name, started_ms in self.started.items()
            if started_ms and now_ms < started_ms + self._downtime_ms
        }
        down |= (self.ordered - self.started.keys()) & set(existing)
        down |= set(listed_down) & set(self.wave.machines)
        return self.wave.max_at_once - len(down)

    @property
    def _downtime_ms(self) -> int:
        return self._times.maintenance_ms + TURNAROUND_MS

    def is_urgent(self, remaining: int, now_ms: int) -> bool:
        """Whether the rest has to go on without waiting for running work."""
        rounds = -(-remaining // self.wave.max_at_once)
        needed_ms = rounds * self._downtime_ms
        return now_ms + needed_ms + DEADLINE_RESERVE_MS >= self._due_ms


class WaveTracker:
    """All waves that were seen in a term."""

    def __init__(self, times: Times) -> None:
        self._times = times
        self._waves: dict[int, WaveProgress] = {}
        # Begun under an earlier scheduler, which may be known before the wave is.
        self._maintained: dict[int, set[str]] = {}

    def add(self, wave: MaintenanceWave, now_ms: int) -> None:
        """Add a wave; one that is known stays as it is."""
        if wave.number not in self._waves:
            self._waves[wave.number] = WaveProgress(wave, self._times, now_ms)
            for machine in self._maintained.get(wave.number, ()):
                self._waves[wave.number].started[machine] = 0

    def open_waves(self) -> list[WaveProgress]:
        """Return the waves that are not done, by number."""
        return [
            wave for _, wave in sorted(self._waves.items()) if not wave.is_done_stored
        ]

    def add_maintained(self, number: int, machine: str) -> None:
        """Note that a machine's maintenance began under an earlier scheduler."""
        self._maintained.setdefault(number, set()).add(machine)
        wave = self._waves.get(number)
        if wave is not None:
            wave.started.setdefault(machine, 0)

    def record_order(self, number: int, machine: str) -> None:
        """Note that an order is on its way."""
        wave = self._waves.get(number)
        if wave is not None:
            wave.ordered.add(machine)

    def record_start(self, number: int, machine: str, now_ms: int) -> None:
        """Note that the maintenance of a machine has begun."""
        wave = self._waves.get(number)
        if wave is not None:
            wave.started.setdefault(machine, now_ms)

    def record_status_write(self, number: int, is_done: bool, is_written: bool) -> None:
        """Note whether a status is stored."""
        wave = self._waves.get(number)
        if wave is not None:
            wave.is_status_pending = False
            wave.is_running_stored |= is_written
            wave.is_done_stored |= is_written and is_done

    def statuses(self, existing: Collection[str]) -> tuple[tuple[int, bool], ...]:
        """Return what is to be said of waves now."""
        due = []
        for number, wave in self._waves.items():
            if wave.is_status_pending or wave.is_done_stored:
                continue
            is_done = bool(existing) and not wave.remaining(existing)
            if is_done or not wave.is_running_stored:
                wave.is_status_pending = True
                due.append((number, is_done))
        return tuple(due)
