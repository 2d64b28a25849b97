"""Steps of the stand-in on hosts: drain, checkpoint, reboot, check, join."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.keyvalue.messages import HostStepState

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.kernel import Clock

REBOOT_MS = 1_000
DONE = HostStepState("done")


class HostSteps:
    """Performs the steps ordered on hosts, each step identity once.

    A drain is done when the host's reported usage is zero. A host in `broken` fails
    its reboot and its health check.
    """

    def __init__(self, clock: Clock, set_host: Callable[[str, str], None]) -> None:
        self.usage: dict[str, int] = {}
        self.broken: set[str] = set()
        self.reboots: dict[str, int] = {}
        self._clock = clock
        self._set_host = set_host
        self._begun_ms: dict[str, int] = {}
        self._ended: dict[str, HostStepState] = {}

    def order_step(self, host: str, step: str, step_id: str) -> HostStepState:
        """Begin a step, or return the state of the step that has this identity."""
        if step_id in self._ended:
            return self._ended[step_id]
        is_new = step_id not in self._begun_ms
        begun_ms = self._begun_ms.setdefault(step_id, self._clock.now_ms())
        state = self._advance(host, step, is_new, begun_ms)
        if state.status == "done":
            self._ended[step_id] = state
        return state

    def _advance(
        self, host: str, step: str, is_new: bool, begun_ms: int
    ) -> HostStepState:
        match step:
            case "drain":
                running = self.usage.get(host, 0)
                return HostStepState("running", f"{running}") if running else DONE
            case "reboot":
                return self._reboot(host, is_new, begun_ms)
            case "check_health" if host in self.broken:
                return HostStepState("failed", "no answer")
        return DONE

    def _reboot(self, host: str, is_new: bool, begun_ms: int) -> HostStepState:
        if is_new:
            self.reboots[host] = self.reboots.get(host, 0) + 1
            self._set_host(host, "gone")
        if self._clock.now_ms() - begun_ms < REBOOT_MS:
            return HostStepState("running", "rebooting")
        if host in self.broken:
            return HostStepState("failed", "did not come back")
        self._set_host(host, "live")
        return DONE
