"""Benchmark of the fleet planners: ``python -m guavapin_bench.fleet --seed N``.

The planners are called with generated objects and a generated demand series. Time is
a number that the benchmark advances; nothing of hosts or network is simulated.
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
from guavapin_bench.fleet_demand import least_moves
from guavapin_bench.fleet_demand import lending_moves
from guavapin_bench.fleet_demand import overflow
from guavapin_bench.fleet_demand import spare_hours
from guavapin_bench.fleet_demand import take_turns
from guavapin_demo.sites import GAGNON
from guavapin_demo.sites import MANDALI
from guavapin_demo.sites import build_fleet
from guavapin_demo.sites import build_objects

if TYPE_CHECKING:
    from collections.abc import Callable

MINUTE_MS = 60_000


def with_wave(objects: ObjectSet, max_at_once: int = 10_000) -> ObjectSet:
    """Return `objects` with one wave over all hosts, bounded by the budgets only."""
    wave = MaintenanceWave("full", max_at_once=max_at_once)
    return replace(objects, waves={"full": wave})


def placed(objects: ObjectSet) -> FleetState:
    """Return a record with every host in its pool and the wave running."""
    return FleetState(
        placements={host.name: host.pool for host in objects.hosts.values()},
        waves={"full": WaveProgress("full", WaveStatus.RUNNING, 0)},
    )


def durations(objects: ObjectSet, rng: random.Random, spread: float) -> dict[str, int]:
    """Return how long each host's maintenance takes, in ms; 5 minutes on average."""
    return {
        name: round(5 * MINUTE_MS * rng.uniform(1 - spread, 1 + spread))
        for name in objects.hosts
    }


def lower_bound_ms(objects: ObjectSet, lengths: dict[str, int]) -> float:
    """Return the least time of a wave that the budgets allow, for any planner."""
    state = placed(objects)
    statuses = pool_statuses(state, objects, Liveness(frozenset(objects.hosts)))
    bound = float(max(lengths.values()))
    for pool in objects.pools.values():
        status = statuses[pool.name]
        budget = objects.budgets[pool.budget]
        places = len(status.members) - required_available(budget, status.size)
        work = sorted(lengths[name] for name in status.members)
        rounds = -(-len(work) // places)
        # Some place must serve `rounds` hosts, which take at least the shortest.
        bound = max(bound, sum(work) / places, sum(work[:rounds]))
        if places == 2:
            bound = max(bound, _two_places_ms(work))
    wave = objects.waves["full"]
    return max(bound, sum(lengths.values()) / wave.max_at_once)


def _two_places_ms(work: list[int]) -> int:
    """Return the exact least time for two places: the best split of all lengths."""
    total = sum(work)
    sums = {0}
    for length in work:
        sums |= {found + length for found in sums}
    return min(max(found, total - found) for found in sums)


def roll_out_ms(objects: ObjectSet, lengths: dict[str, int]) -> int:
    """Return when the last host is done if hosts begin as the planner says."""
    state = placed(objects)
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
            heapq.heappush(ends, (now_ms + lengths[start.host], start.host))
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
    """Return a record as large as it gets: every host maintained, a tenth disrupted."""
    state = placed(objects)
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


def _slowest_days(objects: ObjectSet) -> float:
    """Return the days of a wave of 4 at once whose hosts use up all their time."""
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
    """Return roll-out, planning times and size of the record at four sizes."""
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
        lengths = durations(objects, rng, spread)
        bound = lower_bound_ms(objects, lengths)
        row[f"{label}_ratio"] = roll_out_ms(objects, lengths) / bound
    state, live = placed(objects), Liveness(frozenset(objects.hosts))
    plan = PlanInput(state, objects, live, 0)
    first = DutySituation(state, objects, live.live, 0, 0, {})
    row["plan_ms"] = _time_ms(lambda: plan_starts(plan))
    row["decide_ms"] = _time_ms(lambda: decide(first))
    row["steady_ms"] = _steady_ms(objects)
    row["report_ms"] = _time_ms(lambda: capacity_reports(state, objects, live))
    row["state_bytes"] = len(encode_fleet(full_record(objects)))
    row["three_weeks_days"] = _slowest_days(objects)
    return row


def _steady_ms(objects: ObjectSet) -> float:
    """Return the time of a turn with all places of a wave of 4 at once taken."""
    bounded = with_wave(objects, MaintenanceWave("full").max_at_once)
    state = placed(bounded)
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
    """Return spare and moves at both sites and at the two-year size."""
    figures = {}
    for name, pools, own in (("gagnon", 5, 6), ("mandali", 5, 8), ("fleet", 47, 23)):
        demand = take_turns(pools, own, 4_000 if pools < 10 else 1_000, rng)
        hours = spare_hours(demand)
        spare = max(sum(overflow(demand, i).values()) for i in range(len(demand.steps)))
        short = Demand(demand.steps[:400], demand.own)
        moves, unmet = lending_moves(short, spare)
        least = least_moves(short, spare)
        figures[f"spare-{name}"] = {
            "share_of_fixed": hours["shared"] / hours["fixed"],
            "ratio_to_known": hours["shared"] / hours["known"],
            "unmet_share": hours["unmet_share"],
            "moves": moves,
            "least_moves": least,
            "moves_ratio": moves / least,
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
