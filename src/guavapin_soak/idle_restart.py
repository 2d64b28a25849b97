"""An idle executor that starts again, gets work at once and is then cut off.

A scheduler reads the clock of an idle executor seldom, so that the first order to the
new life may rest on the clock of the former one.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from guavapin_soak.proxy import LinkMode
from guavapin_soak.run_overlaps import run_spans

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from guavapin_soak.executor_host import ExecutorHost
    from guavapin_soak.executor_plan import ExecutorFault

# Time in which the new life has to get a run; otherwise the fault ends.
WORK_TIMEOUT_MS = 6_000


class _Stage(Enum):
    STARTING = "starting"
    IDLE = "idle"
    AT_WORK = "at work"
    CUT_OFF = "cut off"
    OVER = "over"


class IdleRestart:
    """One executor under this fault; the owner calls `tick` until `is_over`."""

    def __init__(
        self,
        host: ExecutorHost,
        fault: ExecutorFault,
        submit_work: Callable[[], object],
        now_ms: int,
    ) -> None:
        self._host = host
        self._fault = fault
        self._submit_work = submit_work
        self._began_ms = now_ms
        self._stage = _Stage.STARTING
        self._stage_ms = now_ms
        self._has_submitted = False
        host.kill()
        # Orders wait for the next life, as those to a host that does not answer yet.
        host.begin_link(LinkMode.WAITING, True)
        host.start_again(fault.lag_ms)

    @property
    def is_over(self) -> bool:
        """Whether the fault has been undone."""
        return self._stage is _Stage.OVER

    def tick(self, now_ms: int) -> None:
        """Go on to the next stage when it is due."""
        fault, elapsed_ms = self._fault, now_ms - self._stage_ms
        if not self._has_submitted and now_ms >= self._began_ms + fault.work_delay_ms:
            self._has_submitted = True
            self._submit_work()
        is_late = elapsed_ms > WORK_TIMEOUT_MS
        match self._stage:
            case _Stage.STARTING if is_late or self._has_event("up"):
                self._host.end_link(LinkMode.WAITING, True)
                self._enter(_Stage.IDLE, now_ms)
            case _Stage.IDLE if self._has_event("start"):
                self._enter(_Stage.AT_WORK, now_ms)
            case _Stage.IDLE if is_late:
                self._enter(_Stage.OVER, now_ms)
            case _Stage.AT_WORK if elapsed_ms >= fault.delay_ms:
                self._host.begin_link(LinkMode.CUT, fault.reaches_store)
                self._enter(_Stage.CUT_OFF, now_ms)
            case _Stage.CUT_OFF if elapsed_ms >= fault.for_ms:
                self._host.end_link(LinkMode.CUT, fault.reaches_store)
                self._enter(_Stage.OVER, now_ms)

    def _enter(self, stage: _Stage, now_ms: int) -> None:
        self._stage, self._stage_ms = stage, now_ms

    def _has_event(self, kind: str) -> bool:
        return any(
            event.kind == kind and event.at_ms >= self._began_ms
            for event in self._host.events()
        )


def choose_idle(
    hosts: Sequence[ExecutorHost], order: Sequence[int], count: int, now_ms: int
) -> list[ExecutorHost]:
    """Return at most `count` hosts that are up and without a run, in the `order`."""
    return [hosts[number] for number in order if _is_idle(hosts[number], now_ms)][
        :count
    ]


def _is_idle(host: ExecutorHost, now_ms: int) -> bool:
    spans = run_spans(host.events(), now_ms)
    return host.is_reachable and all(span.end_kind != "running" for span in spans)
