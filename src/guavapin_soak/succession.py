"""An executor whose next life has another id at the same address.

The former life goes on answering over the connections that it has, so that orders for
the next one may reach it, and the registry and the list of machines lag.
"""

from __future__ import annotations

import signal
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from guavapin_soak.proxy import LinkMode
from guavapin_soak.succession_plan import SuccessionKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin_soak.executor_host import ExecutorHost
    from guavapin_soak.former_life import FormerLife
    from guavapin_soak.succession_plan import SuccessionFault

# Time in which an executor that was told to stop has to end its runs, or else starts
# again, and after which a next life that has not come up is started if it has ended.
STAGE_TIMEOUT_MS = 4_000

# A list that lags by this much or more names the former life until it names the next.
OMITTED_END_LAG_MS = 2_000

# Time for which the list shows the next life before a reading that is older.
LIST_RIGHT_MS = 1_000


class _Stage(Enum):
    STOPPING = "stopping"
    STARTING = "starting"
    OVER = "over"


@dataclass(frozen=True, slots=True)
class _Action:
    at_ms: int
    apply: Callable[[], object]


class Succession:
    """One machine under this fault; the owner calls `tick` until `is_over`."""

    def __init__(
        self,
        host: ExecutorHost,
        fault: SuccessionFault,
        submit_work: Callable[[], object],
        now_ms: int,
    ) -> None:
        self._host = host
        self._fault = fault
        self._submit_work = submit_work
        self._stage, self._stage_ms = _Stage.STOPPING, now_ms
        self._process = host.process
        # A stop that was given up before may have been written.
        self._former_stops = host.count_written("stopping")
        self._actions: list[_Action] = []
        if fault.kind is SuccessionKind.CRASH:
            host.kill()
            self._start_next(now_ms)
        elif not host.begin_stop():
            self._stage = _Stage.OVER

    @property
    def is_over(self) -> bool:
        """Whether the fault has been undone."""
        return self._stage is _Stage.OVER and not self._actions

    def tick(self, now_ms: int) -> None:
        """Go on to the next stage when it is due."""
        due = [action for action in self._actions if action.at_ms <= now_ms]
        self._actions = [action for action in self._actions if action.at_ms > now_ms]
        for action in due:
            action.apply()
        is_late = now_ms > self._stage_ms + STAGE_TIMEOUT_MS
        match self._stage:
            case _Stage.STOPPING if self._host.process is not self._process:
                # Another fault has killed the executor and started it again.
                self._stage = _Stage.OVER
            case _Stage.STOPPING if is_late:
                # Another fault has suspended the executor.
                self._host.kill()
                self._host.start_again(0)
                self._stage = _Stage.OVER
            case _Stage.STOPPING if (
                self._host.count_written("stopping") > self._former_stops
            ):
                self._start_next(now_ms)
            case _Stage.STARTING if self._host.count_written("up"):
                self._stage = _Stage.OVER
                self._follow(now_ms)
            case _Stage.STARTING if is_late:
                # Another fault has killed the process, or it starts slowly. The list
                # must show it in the end.
                self._host.start_again(0)
                self._stage_ms = now_ms

    def _start_next(self, now_ms: int) -> None:
        fault, host = self._fault, self._host
        former = host.start_successor(fault.entry_lag_ms, fault.keeps_entry)
        self._stage, self._stage_ms = _Stage.STARTING, now_ms
        if fault.kind is SuccessionKind.CRASH:
            host.end_former(former)
        else:
            self._linger(former, now_ms)
        if fault.list_lag_ms < OMITTED_END_LAG_MS:
            self._at(now_ms, lambda: host.list_as(fault.listed_state, ""))
        if fault.delays_starts:
            host.begin_link(LinkMode.STARTS_DELAYED, True)
            end_ms = now_ms + fault.for_ms
            self._at(end_ms, lambda: host.end_link(LinkMode.STARTS_DELAYED, True))

    def _linger(self, former: FormerLife, now_ms: int) -> None:
        fault, host = self._fault, self._host
        self._at(now_ms + fault.linger_ms, lambda: host.end_former(former))
        if fault.suspends_former:
            stop_ms = now_ms + fault.linger_ms // 4
            wake_ms = now_ms + 3 * fault.linger_ms // 4
            self._at(stop_ms, lambda: host.signal_former(former, signal.SIGSTOP))
            self._at(wake_ms, lambda: host.signal_former(former, signal.SIGCONT))

    def _follow(self, now_ms: int) -> None:
        """Let the list follow the next life, which has come up, and give it work."""
        fault, host, executor_id = self._fault, self._host, self._host.executor_id
        named = executor_id if fault.names_executor else ""
        self._at(now_ms + fault.work_delay_ms, self._submit_work)
        steps = [(fault.list_lag_ms, "up", executor_id)]
        if named:
            steps.insert(0, (0, fault.listed_state, named))
        if fault.repeats_list_ms:
            # A later reading may be older.
            stale_ms = fault.list_lag_ms + LIST_RIGHT_MS
            self._at(now_ms + stale_ms - fault.work_lead_ms, self._submit_work)
            steps.append((stale_ms, fault.listed_state, named))
            steps.append((stale_ms + fault.repeats_list_ms, "up", executor_id))
        for delay_ms, state, shown in steps:
            self._at(now_ms + delay_ms, _listing(host, executor_id, state, shown))

    def _at(self, at_ms: int, apply: Callable[[], object]) -> None:
        self._actions.append(_Action(at_ms, apply))
        self._actions.sort(key=_action_time)


def _listing(
    host: ExecutorHost, executor_id: str, state: str, shown: str
) -> Callable[[], None]:
    """Return a change of the list that applies unless the executor has changed."""

    def apply() -> None:
        if host.executor_id == executor_id:
            host.list_as(state, shown)

    return apply


def _action_time(action: _Action) -> int:
    return action.at_ms
