"""Demand of queues that take turns, and what planners make of it, for benchmarks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.capacity.lending import LendingState
from guavapin.capacity.lending import plan_lending
from guavapin.capacity.spare import OverflowHistogram
from guavapin.capacity.spare import record_overflow
from guavapin.capacity.spare import spare_target
from guavapin.fleet.state import FleetState
from guavapin.objects.model import AvailabilityBudget
from guavapin.objects.model import AvailabilityZone
from guavapin.objects.model import Host
from guavapin.objects.model import ObjectSet
from guavapin.objects.model import Pool

if TYPE_CHECKING:
    import random

STEP_MS = 10_000
STEPS_PER_HOUR = 3_600_000 // STEP_MS


@dataclass(frozen=True, slots=True)
class Demand:
    """Hosts needed by each pool in each step, and the hosts each pool owns."""

    steps: tuple[dict[str, float], ...]
    own: dict[str, int]


def take_turns(pools: int, own: int, steps: int, rng: random.Random) -> Demand:
    """Queues peak in turn at five times their mean, a twentieth in between.

    A queue peaks 0.95 / 4.95 of the time, so about a fifth of the queues peak at any
    moment. A peak lasts 1 to 3 minutes and its height varies by a tenth.
    """
    names = [f"pool-{index:02d}" for index in range(pools)]
    mean = own / 3
    together = max(round(pools * 0.95 / 4.95), 1)
    waiting = names[together:]
    peaking = {name: rng.randint(1, 18) for name in names[:together]}
    heights = {name: 5 * mean * rng.uniform(0.9, 1.1) for name in names}
    series = []
    for _ in range(steps):
        for name in [name for name, left in peaking.items() if left == 0]:
            del peaking[name]
            following = waiting.pop(0)
            peaking[following] = rng.randint(6, 18)
            heights[following] = 5 * mean * rng.uniform(0.9, 1.1)
            waiting.append(name)
        peaking = {name: left - 1 for name, left in peaking.items()}
        series.append(
            {
                name: heights[name] * rng.uniform(0.95, 1.05)
                if name in peaking
                else mean / 20
                for name in names
            }
        )
    return Demand(tuple(series), dict.fromkeys(names, own))


def overflow(demand: Demand, step: int) -> dict[str, int]:
    """Return the hosts each pool needs beyond its own in one step."""
    return {
        pool: max(-int(-(hosts - 1e-9) // 1) - demand.own[pool], 0)
        for pool, hosts in demand.steps[step].items()
    }


def spare_hours(demand: Demand) -> dict[str, float]:
    """Return host-hours of spare: shared, one a pool, and known in advance."""
    count = len(demand.steps)
    by_step = [overflow(demand, step) for step in range(count)]
    largest = {pool: max(step[pool] for step in by_step) for pool in demand.own}
    known = sum(sum(step.values()) for step in by_step)
    size, held, unmet = OverflowHistogram(), 0, 0
    for step in by_step:
        target = spare_target(size) if size.observations else sum(largest.values())
        held += target
        unmet += max(sum(step.values()) - target, 0)
        size = record_overflow(size, step)
    return {
        "shared": held / STEPS_PER_HOUR,
        "fixed": sum(largest.values()) * count / STEPS_PER_HOUR,
        "known": known / STEPS_PER_HOUR,
        "unmet_share": unmet / known,
    }


def lending_objects(demand: Demand, spare: int) -> ObjectSet:
    """Return pools with their own hosts and one spare pool without own need."""
    counts = {**demand.own, "spare": spare}
    hosts = {
        f"{pool}-{index:03d}": Host(
            f"{pool}-{index:03d}", f"z{index % 3}", f"r{index}", pool, ""
        )
        for pool, count in counts.items()
        for index in range(count)
    }
    return ObjectSet(
        zones={f"z{index}": AvailabilityZone(f"z{index}", "r") for index in range(3)},
        hosts=hosts,
        pools={pool: Pool(pool, "none", is_spare=pool == "spare") for pool in counts},
        budgets={"none": AvailabilityBudget("none")},
    )


def lending_moves(demand: Demand, spare: int) -> tuple[int, int]:
    """Return the planner's moves and the unmet hosts summed over the steps."""
    objects = lending_objects(demand, spare)
    state = FleetState(placements={h.name: h.pool for h in objects.hosts.values()})
    lending, moves, unmet = LendingState(), 0, 0
    for index, wanted in enumerate(demand.steps):
        now_ms = index * STEP_MS
        for probe_ms in range(now_ms, now_ms + STEP_MS, 1_000):
            lending, starts = plan_lending(lending, state, objects, wanted, probe_ms)
            moves += len(starts)
            for start in starts:
                state.placements[start.host] = start.target_pool
        sizes = dict.fromkeys(demand.own, 0)
        for pool in state.placements.values():
            sizes[pool] = sizes.get(pool, 0) + 1
        unmet += sum(
            max(demand.own[pool] + hosts - sizes[pool], 0)
            for pool, hosts in overflow(demand, index).items()
        )
    return moves, unmet


def least_moves(demand: Demand, spare: int) -> int:
    """Return the moves of a planner that knows the demand.

    Each host that a pool lacks must be moved there. The hosts to take are those that
    are needed again last, which is optimal when all moves cost the same.
    """
    by_step = [overflow(demand, step) for step in range(len(demand.steps))]
    held = dict.fromkeys(demand.own, 0)
    free, moves = spare, 0
    for index, wanted in enumerate(by_step):
        for pool, hosts in wanted.items():
            while held[pool] < hosts:
                if free > 0:
                    free -= 1
                else:
                    donors = [p for p in held if held[p] > wanted[p]]
                    if not donors:
                        break
                    donor = max(
                        donors, key=lambda p: _next_need(by_step, index, p, held[p])
                    )
                    held[donor] -= 1
                held[pool] += 1
                moves += 1
    return moves


def _needed_last(
    by_step: list[dict[str, int]], index: int, donors: list[str], held: dict[str, int]
) -> str:
    return max(donors, key=lambda pool: _next_need(by_step, index, pool, held[pool]))


def _next_need(by_step: list[dict[str, int]], index: int, pool: str, held: int) -> int:
    for step in range(index + 1, len(by_step)):
        if by_step[step][pool] >= held:
            return step
    return len(by_step)
