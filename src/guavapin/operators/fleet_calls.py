"""Operators' calls that change the fleet: drains, moves, waves."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from guavapin.fleet import actions
from guavapin.fleet.commands import FleetCommand
from guavapin.fleet.messages import FLEET_WRITER
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.operators.api import ApiAnswer
from guavapin.operators.api import answer_refused
from guavapin.operators.api import await_reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.operators.api import OperatorCall
    from guavapin.operators.api import ServiceClient


@dataclass(frozen=True, slots=True)
class FleetChangeRequest:
    """Body of a call; `pool` is the target of a move.

    A repeated call with the same `command_id` takes effect once.
    """

    reason: str = ""
    pool: str = ""
    command_id: str = ""


@dataclass(frozen=True, slots=True)
class FleetChangeDone:
    """The change took effect as audit entry `sequence` of the record `revision`."""

    object: str
    action: str
    sequence: int
    revision: int


_HOST_ACTIONS: dict[
    str, Callable[[str, FleetChangeRequest], actions.OperatorAction]
] = {
    "drain": lambda host, _: actions.Drain(host),
    "undrain": lambda host, _: actions.Undrain(host),
    "move": lambda host, req: actions.StartMove(host, req.pool),
    "undo-move": lambda host, _: actions.UndoMove(host),
}

_WAVE_ACTIONS: dict[str, Callable[[str], actions.OperatorAction]] = {
    "start": actions.StartWave,
    "pause": actions.PauseWave,
    "resume": actions.ResumeWave,
    "abort": actions.AbortWave,
}


class FleetCalls:
    """Handlers of ``/hosts/NAME/ACTION`` and ``/waves/NAME/ACTION``."""

    def __init__(self, services: ServiceClient) -> None:
        self._services = services

    def change_host(self, call: OperatorCall) -> ApiAnswer:
        """Drain, undrain or move a host."""
        req = _decode(call.body)
        if isinstance(req, Refused):
            return answer_refused(req)
        build = _HOST_ACTIONS.get(call.names["action"])
        if build is None:
            return _unknown_action(call, sorted(_HOST_ACTIONS))
        return self._execute(call, req, build(call.names["name"], req))

    def change_wave(self, call: OperatorCall) -> ApiAnswer:
        """Start, pause, resume or abort a wave."""
        req = _decode(call.body)
        if isinstance(req, Refused):
            return answer_refused(req)
        build = _WAVE_ACTIONS.get(call.names["action"])
        if build is None:
            return _unknown_action(call, sorted(_WAVE_ACTIONS))
        return self._execute(call, req, build(call.names["name"]))

    def _execute(
        self,
        call: OperatorCall,
        req: FleetChangeRequest,
        action: actions.OperatorAction,
    ) -> ApiAnswer:
        command = FleetCommand(
            command_id=req.command_id or str(uuid.uuid4()),
            actor=call.operator,
            action=action,
            reason=req.reason,
        )
        outcome = await_reply(self._services.ask(FLEET_WRITER, command))
        if isinstance(outcome, Refused):
            return answer_refused(outcome)
        applied = outcome.value
        done = FleetChangeDone(
            call.names["name"],
            call.names["action"],
            applied.sequence,
            applied.revision,
        )
        return ApiAnswer(200, done)


def _decode(body: bytes) -> FleetChangeRequest | Refused:
    try:
        return msgspec.json.decode(body or b"{}", type=FleetChangeRequest)
    except (msgspec.DecodeError, RecursionError) as exc:
        return Refused(Reason.BAD_INPUT, f"body: {exc}")


def _unknown_action(call: OperatorCall, expected: list[str]) -> ApiAnswer:
    detail = f"action = {call.names['action']!r}; expected one of {expected}"
    return answer_refused(Refused(Reason.MISSING, detail))
