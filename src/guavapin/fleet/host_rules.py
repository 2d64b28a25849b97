"""Rules for commands on single hosts: admission, removal, drains and moves."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.fleet.budget import check_disruption
from guavapin.fleet.budget import pool_status
from guavapin.fleet.change import Change
from guavapin.fleet.change import Situation
from guavapin.fleet.change import require_pool
from guavapin.fleet.state import Disruption
from guavapin.fleet.state import DisruptionKind
from guavapin.fleet.state import HostPhase
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.objects.model import Host

if TYPE_CHECKING:
    from guavapin.fleet.actions import AdmitHost
    from guavapin.fleet.actions import AdvanceDrain
    from guavapin.fleet.actions import AdvanceMove
    from guavapin.fleet.actions import Drain
    from guavapin.fleet.actions import RemoveHost
    from guavapin.fleet.actions import StartMove
    from guavapin.fleet.actions import UndoMove
    from guavapin.fleet.actions import Undrain
    from guavapin.fleet.state import FleetState


def admit_host(action: AdmitHost, situation: Situation) -> Outcome[Change]:
    """Place a live host into a pool.

    A host that is down would only raise the number of hosts that the budget requires.
    """
    state = situation.state
    if action.host not in situation.objects.hosts:
        return Refused(Reason.MISSING, f"host {action.host!r} is not declared")
    placed = state.placements.get(action.host)
    if placed is not None:
        return Refused(Reason.CONFLICT, f"host {action.host!r} is in pool {placed!r}")
    if action.host not in situation.liveness.live:
        return Refused(Reason.UNREACHABLE, f"host {action.host!r} is not live")
    outcome = require_pool(situation, action.pool)
    if isinstance(outcome, Refused):
        return outcome
    placements = {**state.placements, action.host: action.pool}
    new_state = replace(state, placements=placements)
    return Ok(Change(new_state, "host.admit", action.host, "", action.pool))


def remove_host(action: RemoveHost, situation: Situation) -> Outcome[Change]:
    """Remove an undeclared host that is drained or down."""
    state = situation.state
    placed = state.placements.get(action.host)
    if placed is None:
        return Refused(Reason.MISSING, f"host {action.host!r} is in no pool")
    if action.host in situation.objects.hosts:
        return Refused(Reason.CONFLICT, f"host {action.host!r} is still declared")
    item = state.disruptions.get(action.host)
    is_drained = item is not None and item.phase is HostPhase.DRAINED
    is_down = action.host not in situation.liveness.live
    is_idle = item is None or item.phase in (HostPhase.FAILED, HostPhase.JOINING)
    if not (is_drained or (is_down and is_idle)):
        return Refused(Reason.CONFLICT, f"host {action.host!r} must be drained first")
    placements = {**state.placements}
    del placements[action.host]
    maintained = {**state.maintained_ms}
    maintained.pop(action.host, None)
    new_state = replace(
        without_disruption(state, action.host),
        placements=placements,
        maintained_ms=maintained,
    )
    return Ok(Change(new_state, "host.remove", action.host, placed, ""))


def drain(action: Drain, situation: Situation) -> Outcome[Change]:
    """Begin a drain if the budget allows it."""
    item = Disruption(
        host=action.host,
        pool=situation.state.placements.get(action.host, ""),
        kind=DisruptionKind.DRAIN,
        phase=HostPhase.DRAINING,
        actor=situation.actor,
        since_ms=situation.wall_ms,
    )
    return begin_disruption(item, situation, "host.drain", "")


def advance_drain(action: AdvanceDrain, situation: Situation) -> Outcome[Change]:
    """Advance a drain from draining to drained."""
    item = find_disruption(
        situation.state, action.host, DisruptionKind.DRAIN, HostPhase.DRAINING
    )
    if isinstance(item, Refused):
        return item
    return Ok(enter_phase(item.value, HostPhase.DRAINED, situation, "host.drained"))


def undrain(action: Undrain, situation: Situation) -> Outcome[Change]:
    """Return a draining, drained or failed host; refuse one in maintenance."""
    state = situation.state
    item = state.disruptions.get(action.host)
    if item is None:
        return Refused(Reason.CONFLICT, f"host {action.host!r} is not drained")
    if item.kind is not DisruptionKind.DRAIN and item.phase is not HostPhase.FAILED:
        return Refused(Reason.CONFLICT, describe_disruption(item))
    new_state = without_disruption(state, action.host)
    return Ok(
        Change(new_state, "host.undrain", action.host, item.phase.value, "serving")
    )


def start_move(action: StartMove, situation: Situation) -> Outcome[Change]:
    """Begin a move if the budget of the pool that the host leaves allows it."""
    outcome = require_pool(situation, action.target_pool)
    if isinstance(outcome, Refused):
        return outcome
    source = situation.state.placements.get(action.host, "")
    if source == action.target_pool:
        detail = f"host {action.host!r} is in pool {source!r} already"
        return Refused(Reason.CONFLICT, detail)
    item = Disruption(
        host=action.host,
        pool=source,
        kind=DisruptionKind.MOVE,
        phase=HostPhase.DRAINING,
        actor=situation.actor,
        since_ms=situation.wall_ms,
        target_pool=action.target_pool,
    )
    return begin_disruption(item, situation, "move.start", f"to {action.target_pool}")


def advance_move(action: AdvanceMove, situation: Situation) -> Outcome[Change]:
    """Advance a move: draining, released, joining, serving.

    The write that enters `JOINING` also changes the placement, so the host is in
    exactly one pool at any time.
    """
    found = find_disruption(
        situation.state, action.host, DisruptionKind.MOVE, action.phase
    )
    if isinstance(found, Refused):
        return found
    item = found.value
    if item.phase is HostPhase.DRAINING:
        return Ok(enter_phase(item, HostPhase.RELEASED, situation, "move.released"))
    if item.phase is HostPhase.RELEASED:
        return _join(item, situation)
    return _finish_move(item, situation)


def undo_move(action: UndoMove, situation: Situation) -> Outcome[Change]:
    """Return a host to the pool that it was leaving.

    A joining host that is down is refused: in its previous pool it would only raise
    the number of hosts that the budget's share requires.
    """
    state = situation.state
    item = state.disruptions.get(action.host)
    if item is None or item.kind is not DisruptionKind.MOVE:
        return Refused(Reason.CONFLICT, f"host {action.host!r} is not being moved")
    is_live = action.host in situation.liveness.live
    if item.phase is HostPhase.JOINING and not is_live:
        return Refused(Reason.UNREACHABLE, f"host {action.host!r} is not live")
    outcome = require_pool(situation, item.pool)
    if isinstance(outcome, Refused):
        return outcome
    placements = {**state.placements, item.host: item.pool}
    new_state = replace(without_disruption(state, item.host), placements=placements)
    old = f"{item.phase.value} to {item.target_pool}"
    return Ok(Change(new_state, "move.undo", item.host, old, item.pool))


def begin_disruption(
    item: Disruption, situation: Situation, action: str, new: str
) -> Outcome[Change]:
    """Add a disruption if the host has none and its pool's budget allows it."""
    state = situation.state
    if item.pool == "":
        return Refused(Reason.MISSING, f"host {item.host!r} is in no pool")
    existing = state.disruptions.get(item.host)
    if existing is not None:
        return Refused(Reason.CONFLICT, describe_disruption(existing))
    outcome = require_pool(situation, item.pool)
    if isinstance(outcome, Refused):
        return outcome
    objects = situation.objects
    host = objects.hosts.get(item.host)
    if host is None:
        host = Host(item.host, zone="", rack="", pool=item.pool, address="")
    budget = objects.budgets[objects.pools[item.pool].budget]
    status = pool_status(state, objects, situation.liveness, item.pool)
    checked = check_disruption(status, budget, host)
    if isinstance(checked, Refused):
        return checked
    disruptions = {**state.disruptions, item.host: item}
    new_state = replace(state, disruptions=disruptions)
    new_text = f"{item.phase.value} {new}".strip()
    return Ok(Change(new_state, action, item.host, item.pool, new_text))


def find_disruption(
    state: FleetState, host: str, kind: DisruptionKind, phase: HostPhase
) -> Outcome[Disruption]:
    """Return the disruption of `host` if its kind and phase match, else a refusal."""
    item = state.disruptions.get(host)
    if item is None:
        return Refused(Reason.CONFLICT, f"host {host!r} has no planned disruption")
    if item.kind is not kind or item.phase is not phase:
        return Refused(Reason.CONFLICT, describe_disruption(item))
    return Ok(item)


def enter_phase(
    item: Disruption, phase: HostPhase, situation: Situation, action: str
) -> Change:
    """Return the change that moves a disruption to `phase`."""
    entered = replace(item, phase=phase, since_ms=situation.wall_ms)
    disruptions = {**situation.state.disruptions, item.host: entered}
    new_state = replace(situation.state, disruptions=disruptions)
    return Change(new_state, action, item.host, item.phase.value, phase.value)


def without_disruption(state: FleetState, host: str) -> FleetState:
    """Return `state` without a planned disruption of `host`."""
    disruptions = {**state.disruptions}
    disruptions.pop(host, None)
    return replace(state, disruptions=disruptions)


def describe_disruption(item: Disruption) -> str:
    """Return the text of a refusal that names the phase, kind and actor."""
    name = item.wave or item.target_pool
    subject = f"{item.kind.value} {name}".strip()
    return f"host {item.host!r} is {item.phase.value} by {subject} of {item.actor!r}"


def _join(item: Disruption, situation: Situation) -> Outcome[Change]:
    outcome = require_pool(situation, item.target_pool)
    if isinstance(outcome, Refused):
        return outcome
    change = enter_phase(item, HostPhase.JOINING, situation, "move.joining")
    placements = {**change.state.placements, item.host: item.target_pool}
    state = replace(change.state, placements=placements)
    return Ok(Change(state, change.action, item.host, item.pool, item.target_pool))


def _finish_move(item: Disruption, situation: Situation) -> Outcome[Change]:
    """End a move, after which the host serves.

    A host that is not live is refused, since it would only raise the number of hosts
    that the budget requires.
    """
    if item.phase is not HostPhase.JOINING:
        return Refused(Reason.CONFLICT, describe_disruption(item))
    if item.host not in situation.liveness.live:
        return Refused(Reason.UNREACHABLE, f"host {item.host!r} is not live")
    state = without_disruption(situation.state, item.host)
    return Ok(Change(state, "move.serving", item.host, "joining", item.target_pool))
