"""Checks of guarantees 1, 2 and 4 to 7 on the record's history and the hosts."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import TYPE_CHECKING

from guavapin.fleet.state import DisruptionKind
from guavapin.fleet.state import HostPhase
from guavapin.fleet.state import WaveStatus
from guavapin.kernel import Ok
from guavapin.kernel import Reason
from guavapin_matrix.fleet_simulation import LEAVING_LIMIT_MS
from guavapin_matrix.fleet_simulation import MIN_AVAILABLE

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavapin.fleet.state import FleetState
    from guavapin_matrix.fleet_simulation import FleetSimulation

# The time until a writer knows of a lost host: the lag of the platform's list, the
# age of the writer's copy of it, and one call.
LOSS_DETECTION_MS = 5_000
LOSS_DURATION_MS = 40_000
SAFE_PHASES = (HostPhase.DRAINED, HostPhase.FAILED)


def check_budget(sim: FleetSimulation) -> Iterator[str]:
    """Guarantee 1: no planned disruption takes a host that the pool needs.

    Unplanned losses may bring a pool below its budget. No disruption may begin then,
    from `LOSS_DETECTION_MS` after the loss.
    """
    for (_, old), (at_ms, new) in itertools.pairwise(sim.states):
        down = {
            name
            for lost_ms, name in sim.losses
            if lost_ms + LOSS_DETECTION_MS <= at_ms < lost_ms + LOSS_DURATION_MS
        }
        for pool in ("a", "b"):
            begun = [
                name
                for name, item in new.disruptions.items()
                if name not in old.disruptions and item.pool == pool
            ]
            count = len(_available(new, pool) - down)
            if count < MIN_AVAILABLE and (begun or not sim.losses):
                cause = f"the begin of {begun}" if begun else "a change"
                yield f"1: {count} hosts of pool {pool} left after {cause}"


def check_placements(sim: FleetSimulation) -> Iterator[str]:
    """Guarantee 2: a host is always in one pool and changes it only by a move."""
    for (_, old), (_, new) in itertools.pairwise(sim.states):
        for name, pool in old.placements.items():
            after = new.placements.get(name)
            if after is None:
                yield f"2: {name} is in no pool"
            elif after != pool:
                disruption = new.disruptions.get(name) or old.disruptions.get(name)
                if disruption is None or disruption.kind is not DisruptionKind.MOVE:
                    yield f"2: {name} went from {pool} to {after} without a move"


def check_leaving(sim: FleetSimulation) -> Iterator[str]:
    """Guarantee 6: a disrupted host gets no new work after `LEAVING_LIMIT_MS`."""
    for index, (at_ms, state) in enumerate(sim.states[1:], 1):
        before = sim.states[index - 1][1]
        for name in state.disruptions.keys() - before.disruptions.keys():
            released_ms = min(
                (
                    later_ms
                    for later_ms, later in sim.states[index:]
                    if name not in later.disruptions
                ),
                default=at_ms + LEAVING_LIMIT_MS + 1,
            )
            if released_ms <= at_ms + LEAVING_LIMIT_MS:
                continue
            seen = [
                v for seen_ms, v in sim.views if seen_ms <= at_ms + LEAVING_LIMIT_MS
            ]
            if not seen or seen[-1].hosts[name].takes_new_work:
                yield (
                    f"6: {name} gets new work {LEAVING_LIMIT_MS} ms "
                    f"after its drain began"
                )


def check_commands(sim: FleetSimulation) -> Iterator[str]:
    """Guarantees 4 and 5: a refused command has no effect, no command has two."""
    applied: Counter[str] = Counter()
    for (_, old), (_, new) in itertools.pairwise(sim.states):
        if new.fence < old.fence:
            yield f"5: the fence fell from {old.fence} to {new.fence}"
        if new.next_sequence != old.next_sequence + 1:
            yield f"5: sequence {old.next_sequence} was followed by {new.next_sequence}"
        applied.update(
            entry.command_id
            for entry in new.outbox
            if entry.sequence >= old.next_sequence
        )
    for command_id, count in applied.items():
        if count > 1:
            yield f"5: command {command_id} took effect {count} times"
    for command_id, fut in sim.futures.items():
        if not fut.done():
            continue
        outcome = fut.result()
        if isinstance(outcome, Ok) and not applied[command_id]:
            yield f"4: {command_id} was accepted without effect"
        if isinstance(outcome, Ok) or outcome.reason is Reason.OUTCOME_UNKNOWN:
            continue
        if applied[command_id]:
            yield f"4: {command_id} was refused as {outcome.reason} but took effect"


def check_end(sim: FleetSimulation) -> Iterator[str]:
    """Guarantee 7: every disruption and wave ends safely and interrupts no work."""
    yield from sim.interruptions
    state = sim.state
    for name, item in state.disruptions.items():
        if item.phase not in SAFE_PHASES:
            yield f"7: {name} is still {item.phase.value} by {item.kind.value}"
    for name, progress in state.waves.items():
        is_held = any(host in state.disruptions for host in ("a0", "a1"))
        if progress.status is WaveStatus.RUNNING and not is_held:
            yield f"7: wave {name} did not end"


def _available(state: FleetState, pool: str) -> set[str]:
    return {
        name
        for name, placed in state.placements.items()
        if placed == pool and name not in state.disruptions
    }
