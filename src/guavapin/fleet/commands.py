"""Commands on the fleet record, and the pure function that applies a command."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from typing import get_args

from guavapin.fleet import actions
from guavapin.fleet import host_rules
from guavapin.fleet import wave_rules
from guavapin.fleet.change import Change
from guavapin.fleet.change import Situation
from guavapin.fleet.state import AuditEntry
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.fleet.budget import Liveness
    from guavapin.fleet.state import FleetState
    from guavapin.objects.model import ObjectSet

# A trim keeps this many entries, so that a writer whose answer was lost still finds its
# command. The writer resolves a lost answer within seconds, and the fleet makes at most
# a few changes per second.
KEPT_ENTRIES = 32

# Keeps the record below the platform's limit of 1 MB if no archiver runs: 2,000 entries
# of about 150 bytes are 300 KB. Beyond that, new disruptions and waves are refused.
MAX_OUTBOX_ENTRIES = 2_000

MAX_TEXT_CHARS = 200


@dataclass(frozen=True, slots=True)
class FleetCommand:
    """One change that an operator or a duty requests.

    `command_id` is unique for each command and the same in each of its repetitions.
    `token` is the fencing token of a duty holder; operators have none.
    """

    command_id: str
    actor: str
    action: actions.FleetAction
    token: int | None = None
    reason: str = ""


_DUTY_ACTIONS = get_args(actions.DutyAction)

# Actions that start a disruption or a wave; refused while the outbox is full.
_STARTING_ACTIONS = (
    actions.Drain,
    actions.StartMove,
    actions.StartWave,
    actions.StartWaveHost,
)


def apply(
    state: FleetState,
    command: FleetCommand,
    objects: ObjectSet,
    liveness: Liveness,
    wall_ms: int,
    generation: int,
) -> Outcome[FleetState]:
    """Return the state after `command` with its audit entry, or a refusal."""
    refused = _check_sender(state, command)
    if refused is not None:
        return refused
    if (
        isinstance(command.action, _STARTING_ACTIONS)
        and len(state.outbox) >= MAX_OUTBOX_ENTRIES
    ):
        detail = f"{len(state.outbox)} audit entries are not archived"
        return Refused(Reason.OVERLOADED, detail)
    situation = Situation(
        state, objects, liveness, wall_ms, command.actor, command.token
    )
    rule = _RULES[type(command.action)]
    outcome = rule(command.action, situation)
    if isinstance(outcome, Refused):
        return outcome
    return Ok(_record(outcome.value, command, wall_ms, generation))


def find_applied(state: FleetState, command_id: str) -> AuditEntry | None:
    """Return a command's audit entry, None if it had no effect or was trimmed."""
    for entry in reversed(state.outbox):
        if entry.command_id == command_id:
            return entry
    return None


def _check_sender(state: FleetState, command: FleetCommand) -> Refused | None:
    if command.token is None:
        if isinstance(command.action, _DUTY_ACTIONS):
            name = type(command.action).__name__
            return Refused(Reason.FORBIDDEN, f"{name} needs the token of a duty holder")
        return None
    if command.token < state.fence:
        detail = f"token {command.token} is below the fence {state.fence}"
        return Refused(Reason.FENCED, detail)
    return None


def _record(
    change: Change, command: FleetCommand, wall_ms: int, generation: int
) -> FleetState:
    state = change.state
    entry = AuditEntry(
        sequence=state.next_sequence,
        wall_ms=wall_ms,
        actor=command.actor,
        action=change.action,
        object=change.object,
        generation=generation,
        old=change.old[:MAX_TEXT_CHARS],
        new=change.new[:MAX_TEXT_CHARS],
        reason=command.reason[:MAX_TEXT_CHARS],
        command_id=command.command_id,
    )
    return replace(
        state,
        next_sequence=state.next_sequence + 1,
        outbox=(*state.outbox, entry),
    )


def _raise_fence(action: actions.RaiseFence, situation: Situation) -> Outcome[Change]:
    state, token = situation.state, situation.token
    if token is None or token <= state.fence:
        detail = f"the fence is at {state.fence}; expected a token above it"
        return Refused(Reason.DUPLICATE, detail)
    new_state = replace(state, fence=token)
    change = Change(new_state, "fence.raise", "fleet", str(state.fence), str(token))
    return Ok(change)


def _trim_outbox(action: actions.TrimOutbox, situation: Situation) -> Outcome[Change]:
    state = situation.state
    last = min(action.sequence, state.next_sequence - 1 - KEPT_ENTRIES)
    kept = tuple(entry for entry in state.outbox if entry.sequence > last)
    if len(kept) == len(state.outbox):
        return Refused(Reason.DUPLICATE, f"nothing to trim up to {action.sequence}")
    new_state = replace(state, outbox=kept)
    old = f"{len(state.outbox)} entries"
    return Ok(Change(new_state, "outbox.trim", "fleet", old, f"{len(kept)} entries"))


_RULES: dict[type, Callable[[Any, Situation], Outcome[Change]]] = {
    actions.AdmitHost: host_rules.admit_host,
    actions.RemoveHost: host_rules.remove_host,
    actions.Drain: host_rules.drain,
    actions.AdvanceDrain: host_rules.advance_drain,
    actions.Undrain: host_rules.undrain,
    actions.StartMove: host_rules.start_move,
    actions.AdvanceMove: host_rules.advance_move,
    actions.UndoMove: host_rules.undo_move,
    actions.StartWave: wave_rules.start_wave,
    actions.PauseWave: wave_rules.pause_wave,
    actions.ResumeWave: wave_rules.resume_wave,
    actions.AbortWave: wave_rules.abort_wave,
    actions.StopWave: wave_rules.stop_wave,
    actions.FinishWave: wave_rules.finish_wave,
    actions.StartWaveHost: wave_rules.start_wave_host,
    actions.AdvanceWaveHost: wave_rules.advance_wave_host,
    actions.ReturnWaveHost: wave_rules.return_wave_host,
    actions.FinishWaveHost: wave_rules.finish_wave_host,
    actions.RaiseFence: _raise_fence,
    actions.TrimOutbox: _trim_outbox,
}
