"""Benchmark of the fleet planners: ``python -m guavapin_bench.fleet --seed N``.

The planners are called with generated objects and a generated demand series. The
benchmark advances the time itself; it simulates neither hosts nor the network.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.capacity.report import capacity_reports
from guavapin.duties.decide import DutySituation
from guavapin.duties.decide import decide
from guavapin.fleet.budget import Liveness
from guavapin.fleet.budget import pool_statuses
from guavapin.fleet.budget import required_available
from guavapin.fleet.codec import encode_fleet
from guavapin.fleet.state import AuditEntry
from guavapin.fleet.state import Disruption
from guavapin.fleet.state import DisruptionKind
from guavapin.fleet.state import FleetState
from guavapin.fleet.state import HostPhase
from guavapin.fleet.state import WaveProgress
from guavapin.fleet.state import WaveStatus
from guavapin.objects.model import DAY_MS
from guavapin.objects.model import MaintenanceWave
from guavapin.objects.model import ObjectSet
from guavapin.waves.disruption_steps import SLOW_START_MS
from guavapin.waves.planner import PlanInput
from guavapin.waves.planner import plan_starts
from guavapin_bench.fleet_demand import Demand
from guavapin_bench.fleet_demand import lending_moves
from guavapin_bench.fleet_demand import min_moves
from guavapin_bench.fleet_demand import overflow
from guavapin_bench.fleet_demand import rotating_demand
from guavapin_bench.fleet_demand import spare_hours
from guavapin_demo.sites import GAGNON
from guavapin_demo.sites import MANDALI
from guavapin_demo.sites import build_fleet
from guavapin_demo.sites import build_objects

if TYPE_CHECKING:
    from collections.abc import Callable

MINUTE_MS = 60_000


def with_wave(objects: ObjectSet, max_at_once: int = 10_000) -> ObjectSet:
    """Return `objects` with one wave over all hosts, limited by the budgets only."""
    wave = MaintenanceWave("full", max_at_once=max_at_once)
    return replace(objects, waves={"full": wave})


def placed_state(objects: ObjectSet) -> FleetState:
    """Return a fleet record with every host in its pool and the wave running."""
    return FleetState(
        placements={host.name: host.pool for host in objects.hosts.values()},
        waves={"full": WaveProgress("full", WaveStatus.RUNNING, 0)},
    )


def maintenance_durations(
    objects: ObjectSet, rng: random.Random, spread: float
) -> dict[str, int]:
    """Return the duration of each host's maintenance in ms; 5 minutes on average."""
    return {
        name: round(5 * MINUTE_MS * rng.uniform(1 - spread, 1 + spread))
        for name in objects.hosts
    }


def lower_bound_ms(objects: ObjectSet, durations_ms: dict[str, int]) -> float:
    """Return the shortest time in ms that the budgets allow a wave of any planner."""
    state = placed_state(objects)
    statuses = pool_statuses(state, objects, Liveness(frozenset(objects.hosts)))
    bound = float(max(durations_ms.values()))
    for pool in objects.pools.values():
        status = statuses[pool.name]
        budget = objects.budgets[pool.budget]
        max_down = len(status.members) - required_available(budget, status.size)
        work = sorted(durations_ms[name] for name in status.members)
        rounds = -(-len(work) // max_down)
        # One place must serve `rounds` hosts; the shortest ones give a lower bound.
        bound = max(bound, sum(work) / max_down, sum(work[:rounds]))
        if max_down == 2:
            bound = max(bound, _best_split_ms(work))
    wave = objects.waves["full"]
    return max(bound, sum(durations_ms.values()) / wave.max_at_once)


def _best_split_ms(work: list[int]) -> int:
    """Return the exact minimum in ms for two hosts at once, by the best split."""
    total = sum(work)
    sums = {0}
    for length in work:
        sums |= {found + length for found in sums}
    return min(max(found, total - found) for found in sums)


def roll_out_ms(objects: ObjectSet, durations_ms: dict[str, int]) -> int:
    """Return when the last host is done, in ms, if hosts start as planned."""
    state = placed_state(objects)
    live = Liveness(frozenset(objects.hosts))
    now_ms = 0
    ends: list[tuple[int, str]] = []
    while True:
        for start in plan_starts(PlanInput(state, objects, live, now_ms)):
            item = Disruption(
                start.host,
                state.placements[start.host],
                DisruptionKind.WAVE,
                HostPhase.DRAINING,
                "bench",
                now_ms,
                wave="full",
            )
            state.disruptions[start.host] = item
            heapq.heappush(ends, (now_ms + durations_ms[start.host], start.host))
        if not ends:
            break
        now_ms, host = heapq.heappop(ends)
        ended = [host]
        while ends and ends[0][0] == now_ms:
            ended.append(heapq.heappop(ends)[1])
        for name in ended:
            del state.disruptions[name]
        progress = state.waves["full"]
        state.waves["full"] = replace(progress, done=(*progress.done, *ended))
    assert len(state.waves["full"].done) == len(objects.hosts)
    return now_ms


def full_record(objects: ObjectSet) -> FleetState:
    """Return the largest record: all hosts maintained, a tenth (max. 100) disrupted."""
    state = placed_state(objects)
    names = sorted(objects.hosts)
    wall_ms = 1_780_000_000_000
    entries = (
        AuditEntry(
            sequence=number,
            wall_ms=wall_ms + number,
            actor="fleet-duty",
            action="wave.host.start",
            object=names[number % len(names)],
            generation=1_600,
            old=objects.hosts[names[0]].pool,
            new="draining by full",
            command_id=f"fleet:{10_000 + number}:{number}",
        )
        for number in range(1, 97)
    )
    return replace(
        state,
        fence=10_000,
        next_sequence=97,
        disruptions={
            name: Disruption(
                name,
                objects.hosts[name].pool,
                DisruptionKind.WAVE,
                HostPhase.REBOOTING,
                "fleet-duty",
                wall_ms,
                wave="full",
            )
            for name in names[: min(len(names) // 10, 100)]
        },
        waves={"full": WaveProgress("full", WaveStatus.RUNNING, wall_ms, tuple(names))},
        maintained_ms=dict.fromkeys(names, wall_ms),
        outbox=tuple(entries),
    )


def _longest_wave_days(objects: ObjectSet) -> float:
    """Return the days of a wave, 4 hosts at once, that all use their full timeouts."""
    wave = MaintenanceWave("full")
    bounded = replace(objects, waves={"full": wave})
    length = 2 * wave.drain_timeout_ms + 2 * wave.reboot_timeout_ms + SLOW_START_MS
    return roll_out_ms(bounded, dict.fromkeys(objects.hosts, length)) / DAY_MS


def _time_ms(function: Callable[[], object], rounds: int = 5) -> float:
    """Return the median of `rounds` runs, in ms."""
    times = []
    for _ in range(rounds):
        began = time.perf_counter()
        function()
        times.append((time.perf_counter() - began) * 1_000)
    return sorted(times)[rounds // 2]


def measure_sizes(rng: random.Random) -> dict[str, dict[str, float]]:
    """Return roll-out, planning times and record size for four fleet sizes."""
    sets = {
        "gagnon": with_wave(build_objects(GAGNON)),
        "mandali": with_wave(build_objects(MANDALI)),
        "fleet-300": with_wave(build_fleet(300, 13)),
        "fleet-1100": with_wave(build_fleet()),
    }
    return {name: _measure_size(objects, rng) for name, objects in sets.items()}


def _measure_size(objects: ObjectSet, rng: random.Random) -> dict[str, float]:
    row: dict[str, float] = {}
    for label, spread in (("equal", 0.0), ("varied", 0.5)):
        durations_ms = maintenance_durations(objects, rng, spread)
        bound = lower_bound_ms(objects, durations_ms)
        row[f"{label}_ratio"] = roll_out_ms(objects, durations_ms) / bound
    state, live = placed_state(objects), Liveness(frozenset(objects.hosts))
    plan = PlanInput(state, objects, live, 0)
    first = DutySituation(state, objects, live.live, 0, 0, {})
    row["plan_ms"] = _time_ms(lambda: plan_starts(plan))
    row["decide_ms"] = _time_ms(lambda: decide(first))
    row["steady_ms"] = _steady_ms(objects)
    row["report_ms"] = _time_ms(lambda: capacity_reports(state, objects, live))
    row["state_bytes"] = len(encode_fleet(full_record(objects)))
    row["three_weeks_days"] = _longest_wave_days(objects)
    return row


def _steady_ms(objects: ObjectSet) -> float:
    """Return the time in ms of a decision while a wave has its 4 hosts in progress."""
    bounded = with_wave(objects, MaintenanceWave("full").max_at_once)
    state = placed_state(bounded)
    for name in sorted(bounded.hosts)[:4]:
        item = Disruption(
            name,
            bounded.hosts[name].pool,
            DisruptionKind.WAVE,
            HostPhase.DRAINING,
            "bench",
            0,
            wave="full",
        )
        state.disruptions[name] = item
    live = frozenset(bounded.hosts)
    return _time_ms(lambda: decide(DutySituation(state, bounded, live, 0, 0, {})))


def measure_demand(rng: random.Random) -> dict[str, dict[str, float]]:
    """Return spare hosts and moves at both sites and at the two-year size."""
    figures = {}
    for name, pools, own in (("gagnon", 5, 6), ("mandali", 5, 8), ("fleet", 47, 23)):
        demand = rotating_demand(pools, own, 4_000 if pools < 10 else 1_000, rng)
        hours = spare_hours(demand)
        spare = max(sum(overflow(demand, i).values()) for i in range(len(demand.steps)))
        short = Demand(demand.steps[:400], demand.own_hosts)
        moves, unmet = lending_moves(short, spare)
        minimum = min_moves(short, spare)
        figures[f"spare-{name}"] = {
            "share_of_fixed": hours["shared"] / hours["fixed"],
            "ratio_to_known": hours["shared"] / hours["known"],
            "unmet_share": hours["unmet_share"],
            "moves": moves,
            "least_moves": minimum,
            "moves_ratio": moves / minimum,
            "unmet_host_steps": unmet,
        }
    return figures


def main() -> None:
    """Print the figures as JSON."""
    parser = argparse.ArgumentParser(prog="guavapin_bench.fleet")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    rng = random.Random(args.seed)
    figures = {**measure_sizes(rng), **measure_demand(rng)}
    print(json.dumps({"seed": args.seed, **figures}, indent=2))


if __name__ == "__main__":
    main()
