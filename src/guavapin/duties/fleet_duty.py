"""The `fleet_duty` service: runs waves, moves and lending while it holds the duty."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.capacity.lending import LendingState
from guavapin.duties.decide import DesiredStep
from guavapin.duties.decide import DutySituation
from guavapin.duties.decide import decide
from guavapin.duties.messages import FLEET_DUTY
from guavapin.duties.messages import DutyHeld
from guavapin.duties.messages import DutyLost
from guavapin.duties.messages import HostStepDone
from guavapin.duties.messages import LongWork
from guavapin.duties.messages import PerformHostStep
from guavapin.duties.messages import PoolDemand
from guavapin.duties.messages import ReleaseDuty
from guavapin.fleet.actions import FleetAction
from guavapin.fleet.actions import RaiseFence
from guavapin.fleet.codec import decode_fleet
from guavapin.fleet.commands import FleetCommand
from guavapin.fleet.messages import FLEET_WRITER
from guavapin.fleet.messages import Execute
from guavapin.fleet.messages import Executed
from guavapin.fleet.messages import HostsDown
from guavapin.fleet.messages import ObjectsUpdate
from guavapin.fleet.state import FLEET_KEY
from guavapin.fleet.state import FleetState
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.keyvalue import messages as platform
from guavapin.objects.model import ObjectSet
from guavapin.waves.disruption_steps import StepResult
from guavapin.waves.disruption_steps import SubmitAction
from guavapin.waves.losses import LossHistory
from guavapin.waves.losses import update_losses

if TYPE_CHECKING:
    from guavapin.duties.host_actions import HostActions
    from guavapin.kernel.task import TaskContext

PLATFORM = "platform"

# Interval at which the holder reads the record's revision and, in small fleets, the
# host list.
TICK_MS = 1_000

# A list of 1,100 hosts has about 36 KB. Control traffic is limited to 14 KB/s per
# node, so large fleets are listed less often.
LARGE_FLEET_HOSTS = 400
LARGE_FLEET_LIST_INTERVAL_MS = 5_000

# Delay before a refused change is submitted again. The causes of a refusal, such as a
# budget, change within seconds.
REFUSED_RETRY_MS = 5_000

# An unanswered step is requested again after this time, in case the message was lost.
STEP_RETRY_MS = 15_000


@dataclass(frozen=True, slots=True)
class _Tick:
    """Timer: read the record and the host list, then apply the next plan."""


class FleetDutyTask:
    """Runs the fleet duty while this process holds it; any process can take over.

    All state is in the record except the results of steps, which a successor requests
    again. No command is sent once the lease may have lapsed, and the fence refuses
    commands that arrive late.
    """

    def __init__(
        self, host_actions: HostActions, actor: str, name: str = FLEET_DUTY
    ) -> None:
        self.name = name
        self._host_actions = host_actions
        self._actor = actor
        self._objects = ObjectSet()
        self._down: frozenset[str] = frozenset()
        self._held: DutyHeld | None = None
        self._is_fence_raised = False
        self._last_situation: DutySituation | None = None
        self._revision = platform.NO_REVISION
        self._live_hosts: frozenset[str] | None = None
        self._listed_at_ms = 0
        self._demand = PoolDemand({})
        self._long_work = LongWork(frozenset())
        self._losses = LossHistory()
        self._lending = LendingState()
        self._results: dict[str, StepResult] = {}
        self._requested_ms: dict[str, int] = {}
        self._retry_at_ms: dict[FleetAction, int] = {}
        self._pending_action: FleetAction | None = None
        self._request_id = 0
        self._command_id = 0
        self._reads: dict[int, type] = {}

    def start(self, context: TaskContext) -> Outcome[None]:
        """Start the timer; nothing is read or sent without the duty."""
        self._context = context
        self._context.set_timer(TICK_MS, _Tick())
        return Ok(None)

    def stop(self) -> None:
        """End the term; the next holder continues the disruptions in progress."""
        self._end_term()

    def handle(self, message: object) -> None:
        """Handle a timer, a change of the duty, a reply or updated inputs."""
        match message:
            case _Tick():
                self._context.set_timer(TICK_MS, _Tick())
                self._poll()
            case platform.Reply():
                self._on_reply(message)
            case Executed():
                self._on_executed(message)
            case HostStepDone(step_id, is_ok, detail):
                self._results[step_id] = StepResult(is_ok, detail)
                self._apply_plan()
            case DutyHeld():
                self._on_held(message)
            case DutyLost():
                self._end_term()
            case ObjectsUpdate(objects):
                self._objects = objects
            case HostsDown(hosts):
                self._down = hosts
            case PoolDemand():
                self._demand = message
            case LongWork():
                self._long_work = message
            case _:
                raise InvariantError(f"{self.name}: unexpected message {message!r}")

    @property
    def is_active(self) -> bool:
        """Whether the duty may be carried out now."""
        now_ms = self._context.clock.now_ms()
        return self._held is not None and now_ms < self._held.until_ms

    def _on_held(self, held: DutyHeld) -> None:
        is_new = self._held is None or self._held.token != held.token
        self._held = held
        if is_new:
            self._is_fence_raised = False
            self._last_situation = None
            self._poll()

    def _end_term(self) -> None:
        self._held = None
        self._is_fence_raised = False
        self._last_situation = None
        self._pending_action = None
        self._losses = LossHistory()
        self._lending = LendingState()
        self._results.clear()
        self._requested_ms.clear()
        self._retry_at_ms.clear()
        self._reads.clear()

    def _poll(self) -> None:
        if not self.is_active or self._reads:
            return
        request_id = self._next_read_id(platform.ListPrefix)
        request = platform.ListPrefix(self.name, request_id, FLEET_KEY)
        self._context.send(PLATFORM, request)
        if self._is_list_due():
            request_id = self._next_read_id(platform.ListHosts)
            self._context.send(PLATFORM, platform.ListHosts(self.name, request_id))

    def _is_list_due(self) -> bool:
        if self._live_hosts is None or len(self._objects.hosts) < LARGE_FLEET_HOSTS:
            return True
        return (
            self._context.now_ms() - self._listed_at_ms >= LARGE_FLEET_LIST_INTERVAL_MS
        )

    def _next_read_id(self, kind: type) -> int:
        self._request_id += 1
        self._reads[self._request_id] = kind
        return self._request_id

    def _on_reply(self, reply: platform.Reply) -> None:
        kind = self._reads.pop(reply.request_id, None)
        if kind is None or not self.is_active:
            return
        if kind is platform.ListHosts:
            self._on_host_list(reply.outcome)
        else:
            self._on_record(reply.outcome)
        if not self._reads:
            self._apply_plan()

    def _on_record(self, outcome: platform.PlatformOutcome) -> None:
        """Compare the revision, and read the record only if it has changed."""
        if isinstance(outcome, platform.Listed):
            known = {item.key: item.revision for item in outcome.keys}
            revision = known.get(FLEET_KEY, platform.NO_REVISION)
            if self._last_situation is None or revision > self._revision:
                request_id = self._next_read_id(platform.Get)
                get = platform.Get(self.name, request_id, FLEET_KEY)
                self._context.send(PLATFORM, get)
        elif isinstance(outcome, platform.Missing):
            self._adopt_record(FleetState(), platform.NO_REVISION)
        elif isinstance(outcome, platform.Found):
            decoded = decode_fleet(outcome.value)
            if isinstance(decoded, Ok):
                self._adopt_record(decoded.value, outcome.revision)
        else:
            self._last_situation = None

    def _on_host_list(self, outcome: platform.PlatformOutcome) -> None:
        if not isinstance(outcome, platform.Hosts):
            self._live_hosts = None
            return
        live = frozenset(item.host for item in outcome.hosts if item.state == "live")
        self._live_hosts = live - self._down
        self._listed_at_ms = self._context.now_ms()

    def _adopt_record(self, state: FleetState, revision: int) -> None:
        """Adopt a record, unless an own write has returned a newer revision."""
        if self._last_situation is not None and revision < self._revision:
            return
        self._revision = revision
        now_ms, wall_ms = self._context.now_ms(), self._context.clock.wall_ms()
        situation = self._last_situation
        if situation is None:
            situation = DutySituation(
                state, self._objects, frozenset(), wall_ms, now_ms, self._results
            )
        self._last_situation = replace(situation, state=state)
        self._drop_ended_steps(state)

    def _apply_plan(self) -> None:
        """Submit the next change, one at a time, and request due steps."""
        situation = self._last_situation
        if situation is None or self._live_hosts is None or not self.is_active:
            return
        if self._pending_action is not None:
            return
        if not self._is_fence_raised:
            self._submit(SubmitAction(RaiseFence()))
            return
        now_ms = self._context.now_ms()
        situation = replace(
            situation,
            objects=self._objects,
            live=self._live_hosts,
            now_ms=now_ms,
            wall_ms=self._context.clock.wall_ms(),
            losses=update_losses(
                self._losses, situation.state, self._live_hosts, now_ms
            ),
            lending=self._lending,
            demand=self._demand.hosts,
            long_work=self._long_work.hosts,
        )
        plan = decide(situation)
        self._losses, self._lending = situation.losses, plan.lending
        for step in plan.steps:
            if (
                now_ms - self._requested_ms.get(step.step_id, -STEP_RETRY_MS)
                >= STEP_RETRY_MS
            ):
                self._requested_ms[step.step_id] = now_ms
                order = PerformHostStep(self.name, step.step_id, step.host, step.step)
                self._host_actions.begin(self._context, order)
        for change in plan.changes:
            if now_ms >= self._retry_at_ms.get(change.action, 0):
                self._submit(change)
                return

    def _begin_step(self, step: DesiredStep, now_ms: int) -> None:
        """Request a step, and repeat it later if it was lost, unfinished or failed."""
        requested_ms = self._requested_ms.get(step.step_id)
        if requested_ms is not None and now_ms - requested_ms < STEP_RETRY_MS:
            return
        self._requested_ms[step.step_id] = now_ms
        self._results.pop(step.step_id, None)
        order = PerformHostStep(self.name, step.step_id, step.host, step.step)
        self._host_actions.begin(self._context, order)

    def _submit(self, change: SubmitAction) -> None:
        assert self._held is not None
        self._command_id += 1
        token = self._held.token
        command = FleetCommand(
            f"fleet:{token}:{self._command_id}",
            self._actor,
            change.action,
            token,
            change.reason,
        )
        self._pending_action = change.action
        execute = Execute(self.name, self._command_id, command)
        self._context.send(FLEET_WRITER, execute)

    def _on_executed(self, message: Executed) -> None:
        if message.request_id != self._command_id or self._pending_action is None:
            return
        action, self._pending_action = self._pending_action, None
        outcome = message.outcome
        if isinstance(outcome, Ok):
            self._adopt_record(outcome.value.state, outcome.value.revision)
            self._is_fence_raised = True
        elif self._on_refused(action, outcome):
            return
        self._apply_plan()

    def _on_refused(self, action: FleetAction, refused: Refused) -> bool:
        """Handle a refusal; return whether to wait until the record is read again."""
        if refused.reason is Reason.FENCED and self._held is not None:
            duty, token = self._held.duty, self._held.token
            self._end_term()
            self._context.send(f"duty_{duty}", ReleaseDuty(token))
            return True
        if isinstance(action, RaiseFence):
            self._is_fence_raised = refused.reason is Reason.DUPLICATE
            return not self._is_fence_raised
        self._retry_at_ms[action] = self._context.now_ms() + REFUSED_RETRY_MS
        must_reread = refused.reason in (
            Reason.UNREACHABLE,
            Reason.OUTCOME_UNKNOWN,
            Reason.RATE_LIMITED,
            Reason.CONFLICT,
        )
        if must_reread:
            self._last_situation = None
        return must_reread

    def _drop_ended_steps(self, state: FleetState) -> None:
        """Drop results of disruptions that have ended, and retry times in the past."""
        prefixes = {
            f"{item.host}:{item.kind.value}:{item.phase.value}:{item.since_ms}:"
            for item in state.disruptions.values()
        }
        for known in (self._results, self._requested_ms):
            for step_id in list(known):
                if step_id.rpartition(":")[0] + ":" not in prefixes:
                    del known[step_id]
        now_ms = self._context.now_ms()
        for action in [a for a, until in self._retry_at_ms.items() if until <= now_ms]:
            del self._retry_at_ms[action]
