"""Benchmark cases of load: long work, overload, urgent work, processor time."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from guavapin.routing.health import UpstreamHealth
from guavapin.routing.picker import PickRequest
from guavapin_bench.policies_loop import QueueingLoop
from guavapin_bench.policies_loop import poisson_arrivals
from guavapin_bench.policies_support import LONG_FACTOR
from guavapin_bench.policies_support import PICKERS
from guavapin_bench.policies_support import SHORT_MS
from guavapin_bench.policies_support import Scale
from guavapin_bench.policies_support import build_pool
from guavapin_bench.policies_support import is_good
from guavapin_bench.policies_support import percentile
from guavapin_bench.policies_support import run_normally
from guavapin_bench.policies_support import settings

if TYPE_CHECKING:
    from guavapin.serving.exchange_settings import ExchangeSettings
    from guavapin_bench.policies_loop import RequestOutcome


def short_after(outcomes: list[RequestOutcome], from_ms: int) -> list[RequestOutcome]:
    """Return the short requests that arrived at `from_ms` or later."""
    return [o for o in outcomes if not o.arrival.is_long and o.arrival.at_ms >= from_ms]


def head_of_line(seed: int, scale: Scale) -> list[str]:
    """Return the wait of short work at 70% load, with 5% long work and without."""
    lines = []
    for hosts, slots in ((2, 4), (6, 8), (8, 8)):
        base = _measure_short_waits(seed, scale, hosts, slots, 0.0, settings(seed))
        lines.append(_wait_line(f"{hosts * slots} slots, no long work", base, base))
        first_come = settings(seed, long_share=1.0, refuses_early=False)
        for name, cfg, is_told_apart in (
            ("5% long, long lane at 70%", settings(seed), True),
            ("5% long, long lane at 85%", settings(seed, long_share=0.85), True),
            ("5% long, first come first served", first_come, True),
            ("5% long, not told apart by path", settings(seed), False),
        ):
            waits = _measure_short_waits(
                seed, scale, hosts, slots, 0.05, cfg, is_told_apart
            )
            lines.append(_wait_line(f"{hosts * slots} slots, {name}", waits, base))
    return lines


def _measure_short_waits(
    seed: int,
    scale: Scale,
    hosts: int,
    slots: int,
    long_share: float,
    cfg: ExchangeSettings,
    is_told_apart: bool = True,
) -> tuple[list[int], list[int], float]:
    mean_ms = SHORT_MS * (1 - long_share + long_share * LONG_FACTOR)
    per_second = 0.7 * hosts * slots / mean_ms * 1_000
    duration_ms = scale.ms(1_200_000 if long_share else 200_000)
    rng = random.Random(seed)
    loop = QueueingLoop(build_pool(hosts, slots), cfg, run_normally)
    arrivals = poisson_arrivals(
        rng, per_second, duration_ms, long_share, is_told_apart=is_told_apart
    )
    outcomes = loop.run(arrivals, drain_ms=120_000)
    counted = short_after(outcomes, duration_ms // 6)
    served = [
        outcome for outcome in counted if outcome.is_whole and not outcome.refusal
    ]
    waits = [outcome.wait_ms for outcome in served]
    answers = [outcome.answer_ms for outcome in served]
    return waits, answers, 1 - len(served) / max(len(counted), 1)


def _wait_line(
    name: str,
    measured: tuple[list[int], list[int], float],
    base: tuple[list[int], list[int], float],
) -> str:
    wait, base_wait = percentile(measured[0], 0.99), percentile(base[0], 0.99)
    answer, base_answer = percentile(measured[1], 0.99), percentile(base[1], 0.99)
    ratio = f"{wait / base_wait:7.2f}" if base_wait else "    n/a"
    return (
        f"{name:48s} p99 wait {wait:8.0f} ms ratio {ratio}; p99 answer "
        f"{answer:7.0f} ms ratio {answer / base_answer:6.2f}; "
        f"refused or late {measured[2]:6.2%}"
    )


def overload(seed: int, scale: Scale) -> list[str]:
    """Return goodput at 3 times the capacity against the peak, and time to refuse."""
    lines = []
    first_come = settings(seed, long_share=1.0, refuses_early=False)
    for name, cfg in (("with", settings(seed)), ("without", first_come)):
        goodputs = {}
        for load in (0.8, 0.9, 0.95, 1.0, 1.1, 1.5, 3.0):
            outcomes, duration_ms = _run_overloaded(seed, scale, load, cfg)
            good = sum(is_good(outcome) for outcome in outcomes)
            goodputs[load] = good / (480 * duration_ms / 1_000)
        peak = max(goodputs.values())
        refused = [o.answer_ms for o in outcomes if o.refusal]
        attempts = sum(o.attempts for o in outcomes) / len(outcomes)
        shown = " ".join(f"{load}:{share:.3f}" for load, share in goodputs.items())
        lines.append(
            f"{name:8s} early refusal: goodput by load {shown}; at 3.0 against the "
            f"peak {goodputs[3.0] / peak:.3f}; attempts a request {attempts:.3f}; "
            f"time to refuse p50 {percentile(refused, 0.5):.0f} ms "
            f"p99 {percentile(refused, 0.99):.0f} ms"
        )
    return lines


def _run_overloaded(
    seed: int, scale: Scale, load: float, cfg: ExchangeSettings
) -> tuple[list[RequestOutcome], int]:
    duration_ms = scale.ms(60_000)
    loop = QueueingLoop(build_pool(6, timeout_ms=1_000), cfg, run_normally)
    arrivals = poisson_arrivals(random.Random(seed), load * 480, duration_ms)
    return loop.run(arrivals, drain_ms=5_000), duration_ms


def urgent(seed: int, scale: Scale) -> list[str]:
    """Return the wait of urgent work at 3 times the capacity, and the rest served."""
    lines = []
    for urgent_share in (0.05, 0.2, 0.5):
        duration_ms = scale.ms(60_000)
        loop = QueueingLoop(
            build_pool(6, timeout_ms=10_000), settings(seed), run_normally
        )
        arrivals = poisson_arrivals(
            random.Random(seed), 1_440, duration_ms, urgent_share=urgent_share
        )
        outcomes = loop.run(arrivals, drain_ms=20_000)
        first = [o for o in outcomes if o.arrival.is_urgent]
        rest = [o for o in outcomes if not o.arrival.is_urgent]
        waits = [o.wait_ms for o in first if o.start_ms >= 0]
        lines.append(
            f"{urgent_share:4.0%} urgent: wait p50 {percentile(waits, 0.5):.0f} ms p99 "
            f"{percentile(waits, 0.99):.0f} ms, served "
            f"{sum(map(is_good, first)) / len(first):6.1%}; of the rest served "
            f"{sum(map(is_good, rest)) / len(rest):6.1%}"
        )
    return lines


def pick_cost(seed: int, scale: Scale) -> list[str]:
    """Return processor time per pick and per request, for 10 to 1,000 upstreams."""
    lines = []
    base: dict[str, float] = {}
    for hosts in (10, 100, 1_000):
        health = {f"h{i}": UpstreamHealth(outstanding=i % 5) for i in range(hosts)}
        names = list(health)
        for name, picker in PICKERS.items():
            rng = random.Random(seed)
            rounds = 200 if "least" in name and hosts > 100 else 5_000
            started = time.process_time()
            for _ in range(rounds):
                picker.pick(names, health, PickRequest(), 0, rng)
            cost_us = (time.process_time() - started) / rounds * 1e6
            base.setdefault(name, cost_us)
            lines.append(
                f"{hosts:5d} upstreams, {name:30s} {cost_us:8.2f} us a pick, "
                f"{cost_us / base[name]:6.2f} times that of 10"
            )
        cost_us = _request_cost_us(seed, scale, hosts)
        base.setdefault("request", cost_us)
        lines.append(
            f"{hosts:5d} upstreams, {'whole request in the task':30s} "
            f"{cost_us:8.2f} us, {cost_us / base['request']:6.2f} times that of 10"
        )
    return lines


def _request_cost_us(seed: int, scale: Scale, hosts: int) -> float:
    loop = QueueingLoop(build_pool(hosts), settings(seed), run_normally)
    arrivals = list(poisson_arrivals(random.Random(seed), 300, scale.ms(60_000)))
    started = time.process_time()
    outcomes = loop.run(iter(arrivals), drain_ms=1_000)
    return (time.process_time() - started) / len(outcomes) * 1e6
