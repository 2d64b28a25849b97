"""An entry host whose process is stopped, signalled and started by planned work."""

from __future__ import annotations

import os
import signal
from pathlib import Path
from typing import TYPE_CHECKING

from guavapin_soak.answer_checks import exit_violation
from guavapin_soak.planned_work import AT_START_KINDS
from guavapin_soak.planned_work import WorkKind

if TYPE_CHECKING:
    from guavapin_soak.entry_process import EntryProcess
    from guavapin_soak.planned_work import WorkStep

# The platform kills a process this long after its SIGTERM.
GRACE_MS = 6_000

# Processor time after which a process runs modules of the product.
BEGUN_CPU_MS = 100


class PlannedHost:
    """Applies steps of planned work; the owner calls `tick` several times a second.

    `violations` has a sentence for each process that ended otherwise than on SIGTERM,
    with code 0 and in its grace.
    """

    def __init__(self, entry: EntryProcess, now_ms: int) -> None:
        self.entry = entry
        self.violations: list[str] = []
        self.stop_count = 0
        # Time at which the product was first seen to run, below 0 before.
        self._begun_ms = now_ms
        self._stopped_ms = -1
        self._restart_ms = -1
        self._restart_delay_ms = 0
        # Signals at a start and their delays; at most one of a kind waits.
        self._at_start: dict[signal.Signals, int] = {}

    def apply(self, step: WorkStep, now_ms: int) -> None:
        """Send the signal of a step, or keep it for the next start."""
        is_up = self._restart_ms < 0
        is_stopping = self._stopped_ms >= 0
        match step.kind:
            case kind if kind in AT_START_KINDS:
                is_stop = kind is WorkKind.STOP_AT_START
                number = signal.SIGTERM if is_stop else signal.SIGHUP
                self._at_start[number] = step.delay_ms
                if is_up and not is_stopping:
                    self._stop(now_ms)
            case WorkKind.STOP if is_up and not is_stopping:
                self._restart_delay_ms = step.delay_ms
                self._stop(now_ms)
            case WorkKind.STOP_AGAIN if is_up:
                self._stop(now_ms)
            case WorkKind.HANG_UP | WorkKind.HANG_UP_AT_STOP if is_up:
                if step.kind is WorkKind.HANG_UP_AT_STOP and not is_stopping:
                    self._stop(now_ms)
                self._send_when_begun(signal.SIGHUP, now_ms)

    def tick(self, now_ms: int) -> None:
        """Start a process that has ended, and kill one that exceeds its grace."""
        if self._restart_ms >= 0:
            if now_ms >= self._restart_ms:
                self._start()
            return
        after_ms = now_ms - self._stopped_ms if self._stopped_ms >= 0 else -1
        code = self.entry.process.poll()
        if code is None and after_ms > GRACE_MS:
            self.violations.append(
                f"{self.entry.name}: still runs {after_ms} ms after its SIGTERM"
            )
            self.entry.signal(signal.SIGKILL)
            self.entry.process.wait()
            self._restart_ms = now_ms
        elif code is not None:
            text = exit_violation(self.entry.name, code, after_ms, GRACE_MS)
            if text:
                self.violations.append(text)
            self._restart_ms = now_ms + self._restart_delay_ms
        else:
            if self._begun_ms < 0 and has_begun(self.entry.process.pid):
                self._begun_ms = now_ms
            self._signal_at_start(now_ms)

    @property
    def is_settled(self) -> bool:
        """Whether the process runs and neither stops nor awaits a signal."""
        return self._restart_ms < 0 and self._stopped_ms < 0 and not self._at_start

    def _stop(self, now_ms: int) -> None:
        if self._begun_ms >= 0 and self._stopped_ms < 0:
            self._stopped_ms = now_ms
            self.stop_count += 1
        self._send_when_begun(signal.SIGTERM, now_ms)

    def _send_when_begun(self, number: signal.Signals, now_ms: int) -> None:
        if self._begun_ms >= 0:
            self.entry.signal(number)
        else:
            self._at_start.setdefault(number, 0)

    def _start(self) -> None:
        self.entry.restart()
        self._begun_ms = self._stopped_ms = self._restart_ms = -1

    def _signal_at_start(self, now_ms: int) -> None:
        if self._begun_ms < 0:
            return
        for number, delay_ms in [*self._at_start.items()]:
            # A process that still stops gets the signal after its next start.
            if self._stopped_ms < 0 and now_ms >= self._begun_ms + delay_ms:
                del self._at_start[number]
                if number == signal.SIGTERM:
                    self._stop(now_ms)
                else:
                    self.entry.signal(number)


def has_begun(pid: int) -> bool:
    """Whether the interpreter of a process has begun to run the product.

    Until then a signal has its default action, which no code of the product can change.
    Processor time tells it on a busy machine too: the interpreter takes about 30 ms of
    it and the product's imports some hundred.
    """
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return False
    ticks = int(fields[11]) + int(fields[12])
    return ticks * 1_000 >= BEGUN_CPU_MS * os.sysconf("SC_CLK_TCK")
