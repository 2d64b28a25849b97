"""Simulated hosts with work, and a fake of the service `host_actions`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.duties.messages import HostStep
from guavapin.duties.messages import HostStepDone
from guavapin.duties.messages import PerformHostStep

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin_matrix.simulation import Node
    from guavapin_matrix.simulation import SimulatedLoop

POLL_MS = 500
DURATIONS_MS = {
    HostStep.DRAIN: 0,
    HostStep.CHECKPOINT: 500,
    HostStep.REBOOT: 4_000,
    HostStep.CHECK_HEALTH: 500,
    HostStep.JOIN: 1_000,
}


class FleetHost:
    """A host with unfinished work until `work_until_ms`, or none if `is_saved`.

    Each step takes `step_factor` times the usual duration.
    """

    def __init__(
        self,
        is_up: bool = True,
        fails: bool = False,
        fails_reboot: bool = False,
        step_factor: int = 1,
        never_ends: bool = False,
        is_rebooting: bool = False,
        work_until_ms: int = 0,
        is_saved: bool = False,
    ) -> None:
        self.is_up = is_up
        self.fails = fails
        self.fails_reboot = fails_reboot
        self.step_factor = step_factor
        self.never_ends = never_ends
        self.is_rebooting = is_rebooting
        self.work_until_ms = work_until_ms
        self.is_saved = is_saved


class OrderedStep:
    """A step that a duty holder ordered; repeated orders run it once if it succeeds."""

    def __init__(
        self,
        order: PerformHostStep,
        waiting: list[Node],
        is_begun: bool = False,
        is_lost: bool = False,
        result: bool | None = None,
    ) -> None:
        self.order = order
        self.waiting = waiting
        self.is_begun = is_begun
        self.is_lost = is_lost
        self.result = result


class FleetHosts:
    """All hosts and the steps on them; `on_step_begun` is called before each step."""

    def __init__(self, loop: SimulatedLoop, names: list[str]) -> None:
        self.hosts = {name: FleetHost() for name in names}
        self.steps: dict[str, OrderedStep] = {}
        self.on_step_begun: Callable[[str, HostStep], None] = lambda host, step: None
        self._loop = loop

    def has_work(self, name: str) -> bool:
        """Return whether a stop of the host now would interrupt work."""
        host = self.hosts[name]
        unfinished = self._loop.now_ms() < host.work_until_ms
        return host.is_up and unfinished and not host.is_saved

    def add_work(self, name: str, duration_ms: int) -> None:
        """Add work that lasts `duration_ms` from now to a host."""
        host = self.hosts[name]
        end_ms = self._loop.now_ms() + duration_ms
        host.work_until_ms = max(host.work_until_ms, end_ms)
        host.is_saved = False

    def handle_order(self, node: Node, order: PerformHostStep) -> None:
        """Begin an ordered step, or answer a repeated order with the known result.

        A step that failed is begun again.
        """
        step = self.steps.get(order.step_id)
        if step is None or step.result is False:
            step = OrderedStep(order, [])
            self.steps[order.step_id] = step
        step.waiting.append(node)
        if step.result is not None:
            self._send_result(step)
        elif not step.is_begun:
            step.is_begun = True
            self._begin(step)

    def silence(self) -> None:
        """Drop the answers of all steps in progress to the nodes that now wait."""
        for step in self.steps.values():
            if step.result is None:
                step.waiting.clear()

    def _begin(self, step: OrderedStep) -> None:
        order = step.order
        self.on_step_begun(order.host, order.step)
        if order.step is HostStep.REBOOT:
            self.hosts[order.host].is_rebooting = True
        delay_ms = DURATIONS_MS[order.step] * self.hosts[order.host].step_factor
        self._loop.after(delay_ms, lambda: self._try_finish(step))

    def _try_finish(self, step: OrderedStep) -> None:
        order, host = step.order, self.hosts[step.order.host]
        is_waiting = order.step is HostStep.DRAIN and self.has_work(order.host)
        if host.never_ends or (is_waiting and not host.fails):
            self._loop.after(POLL_MS, lambda: self._try_finish(step))
            return
        step.result = host.is_up and not host.fails
        if order.step is HostStep.REBOOT:
            host.is_rebooting = False
            step.result = step.result and not host.fails_reboot
        if order.step is HostStep.CHECKPOINT and step.result:
            host.is_saved = True
        self._send_result(step)

    def _send_result(self, step: OrderedStep) -> None:
        done = HostStepDone(step.order.step_id, bool(step.result), "simulated")
        waiting, step.waiting = step.waiting, []
        for node in waiting:
            self._loop.after(1, lambda n=node: n.deliver(step.order.reply_to, done))  # type: ignore[misc]
