"""Demand of queues that peak in turn, and figures of planners for it."""

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
    """Hosts that each pool needs in each step of 10 s, and the hosts that it owns."""

    steps: tuple[dict[str, float], ...]
    own_hosts: dict[str, int]


def rotating_demand(pools: int, own: int, steps: int, rng: random.Random) -> Demand:
    """Return demand of queues that peak in turn.

    A peak is five times the mean; between peaks, demand is a twentieth of the mean.

    A queue peaks 0.95 / 4.95 of the time, so about a fifth of the queues peak at any
    moment. A peak lasts 1 to 3 minutes and its height varies by a tenth.
    """
    names = [f"pool-{index:02d}" for index in range(pools)]
    mean = own / 3
    peaking_count = max(round(pools * 0.95 / 4.95), 1)
    waiting = names[peaking_count:]
    peaking = {name: rng.randint(1, 18) for name in names[:peaking_count]}
    heights = {name: 5 * mean * rng.uniform(0.9, 1.1) for name in names}
    series = []
    for _ in range(steps):
        for name in [name for name, left in peaking.items() if left == 0]:
            del peaking[name]
            next_peaking = waiting.pop(0)
            peaking[next_peaking] = rng.randint(6, 18)
            heights[next_peaking] = 5 * mean * rng.uniform(0.9, 1.1)
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
    """Return the number of hosts that each pool needs beyond its own in one step."""
    return {
        pool: max(-int(-(hosts - 1e-9) // 1) - demand.own_hosts[pool], 0)
        for pool, hosts in demand.steps[step].items()
    }


def spare_hours(demand: Demand) -> dict[str, float]:
    """Return host-hours of spare: shared, fixed per pool, and with known demand."""
    count = len(demand.steps)
    by_step = [overflow(demand, step) for step in range(count)]
    largest = {pool: max(step[pool] for step in by_step) for pool in demand.own_hosts}
    known = sum(sum(step.values()) for step in by_step)
    histogram, held, unmet = OverflowHistogram(), 0, 0
    for step in by_step:
        target = (
            spare_target(histogram) if histogram.observations else sum(largest.values())
        )
        held += target
        unmet += max(sum(step.values()) - target, 0)
        histogram = record_overflow(histogram, step)
    return {
        "shared": held / STEPS_PER_HOUR,
        "fixed": sum(largest.values()) * count / STEPS_PER_HOUR,
        "known": known / STEPS_PER_HOUR,
        "unmet_share": unmet / known,
    }


def lending_objects(demand: Demand, spare: int) -> ObjectSet:
    """Return pools with their own hosts, and a spare pool without demand."""
    counts = {**demand.own_hosts, "spare": spare}
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
    """Return the planner's moves, and the missing hosts summed over the steps."""
    objects = lending_objects(demand, spare)
    state = FleetState(placements={h.name: h.pool for h in objects.hosts.values()})
    lending, moves, unmet = LendingState(), 0, 0
    for index, required in enumerate(demand.steps):
        now_ms = index * STEP_MS
        for probe_ms in range(now_ms, now_ms + STEP_MS, 1_000):
            lending, starts = plan_lending(lending, state, objects, required, probe_ms)
            moves += len(starts)
            for start in starts:
                state.placements[start.host] = start.target_pool
        sizes = dict.fromkeys(demand.own_hosts, 0)
        for pool in state.placements.values():
            sizes[pool] = sizes.get(pool, 0) + 1
        unmet += sum(
            max(demand.own_hosts[pool] + hosts - sizes[pool], 0)
            for pool, hosts in overflow(demand, index).items()
        )
    return moves, unmet


def min_moves(demand: Demand, spare: int) -> int:
    """Return the moves of a planner that knows the demand in advance.

    Each host that a pool lacks must be moved there. It is taken from the pool that
    needs it again last, which is optimal if all moves cost the same.
    """
    by_step = [overflow(demand, step) for step in range(len(demand.steps))]
    held = dict.fromkeys(demand.own_hosts, 0)
    free, moves = spare, 0
    for index, required in enumerate(by_step):
        for pool, hosts in required.items():
            while held[pool] < hosts:
                if free > 0:
                    free -= 1
                else:
                    donors = [p for p in held if held[p] > required[p]]
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
