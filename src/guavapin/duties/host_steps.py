"""The task `host_actions`: orders host steps from the platform and polls them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.duties.messages import HOST_ACTIONS
from guavapin.duties.messages import HostStepDone
from guavapin.duties.messages import PerformHostStep
from guavapin.kernel import Ok
from guavapin.keyvalue.messages import HostStepState
from guavapin.keyvalue.messages import OrderHostStep
from guavapin.keyvalue.messages import Reply

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext

# Steps take seconds to hours. One poll per second for each host in progress adds at
# most a few calls per second at the platform.
STEP_POLL_INTERVAL_MS = 1_000


@dataclass(frozen=True, slots=True)
class _Poll:
    """Timer: query the status of a step."""

    step_id: str


class HostActionsTask:
    """Service `host_actions`: answers each `PerformHostStep` once its step has ended.

    The platform performs each step id once, so an order repeated after a takeover or a
    lost answer only queries the status of the step.
    """

    name = HOST_ACTIONS

    def __init__(self) -> None:
        self._steps: dict[str, PerformHostStep] = {}
        self._pending_steps: dict[int, str] = {}
        self._request_id = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Store the context; nothing is opened."""
        self._context = context
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle an order, an answer of the platform or a timer."""
        match message:
            case PerformHostStep():
                is_known = message.step_id in self._steps
                self._steps[message.step_id] = message
                if not is_known:
                    self._send_order(message.step_id)
            case Reply(request_id, outcome):
                step_id = self._pending_steps.pop(request_id, "")
                if step_id in self._steps:
                    self._on_outcome(step_id, outcome)
            case _Poll(step_id):
                if step_id in self._steps:
                    self._send_order(step_id)

    def stop(self) -> None:
        """Drop the steps; the next holder of the duty requests them again."""
        self._steps.clear()

    def _send_order(self, step_id: str) -> None:
        step = self._steps[step_id]
        self._request_id += 1
        self._pending_steps[self._request_id] = step_id
        order = OrderHostStep(
            self.name, self._request_id, step.host, step.step.value, step_id
        )
        self._context.send("platform", order)

    def _on_outcome(self, step_id: str, outcome: object) -> None:
        match outcome:
            case HostStepState("done" | "failed" as status, detail):
                step = self._steps.pop(step_id)
                done = HostStepDone(step_id, status == "done", detail)
                self._context.send(step.reply_to, done)
            case _:
                self._context.set_timer(STEP_POLL_INTERVAL_MS, _Poll(step_id))
