"""The cases of the benchmark of the policies; each returns lines of figures."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.objects.model import AvailabilityZone
from guavapin.objects.model import Host
from guavapin.objects.model import ObjectSet
from guavapin.objects.model import Pool
from guavapin.objects.model import Service
from guavapin.routing.health import UpstreamHealth
from guavapin.routing.picker import LeastOutstandingPicker
from guavapin.routing.picker import PickRequest
from guavapin.routing.picker import RandomPicker
from guavapin.routing.picker import TwoChoicesPicker
from guavapin.routing.picker import WeightedTwoChoicesPicker
from guavapin.routing.verdict import VerdictRules
from guavapin.serving.exchange_settings import ExchangeSettings
from guavapin.serving.messages import AttemptResult
from guavapin_bench.policies_loop import QueueingLoop
from guavapin_bench.policies_loop import Reply
from guavapin_bench.policies_loop import poisson_arrivals

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from typing import Any

    from guavapin.routing.picker import Picker
    from guavapin_bench.policies_loop import Outcome

SHORT_MS = 100.0
LONG_FACTOR = 100.0
PICKERS: dict[str, Picker] = {
    "random": RandomPicker(),
    "least outstanding": LeastOutstandingPicker(),
    "two choices": TwoChoicesPicker(),
    "two choices, failure weight": WeightedTwoChoicesPicker(),
}


@dataclass(frozen=True, slots=True)
class Scale:
    """Factor on the length of the runs; 1.0 for recorded figures."""

    factor: float = 1.0

    def ms(self, duration_ms: int) -> int:
        """Return the length of a run."""
        return max(int(duration_ms * self.factor), 1_000)


def build_pool(hosts: int, slots: int = 8, timeout_ms: int = 120_000) -> ObjectSet:
    """Return one service on one pool of one zone with one seat."""
    names = [f"h{index:04d}" for index in range(hosts)]
    return ObjectSet(
        zones={"z": AvailabilityZone("z", "r", 1)},
        hosts={
            name: Host(name, "z", f"rack{index // 4}", "p", f"{name}:80")
            for index, name in enumerate(names)
        },
        pools={"p": Pool("p", "b", slots=slots)},
        services={
            "s": Service(
                "s", "p", path_prefix="/s", timeout_ms=timeout_ms, queue_limit=4_096
            )
        },
    )


def settings(seed: int, **changes: Any) -> ExchangeSettings:
    """Return the settings of a seat that starts without hold-off."""
    return ExchangeSettings("z", seed=seed, is_first_start=True, **changes)


def run_normally(host: str, run_ms: int, now_ms: int) -> Reply:
    """Answer after the run time of the request."""
    return Reply(run_ms)


def percentile(values: Sequence[int], share: float) -> float:
    """Return a percentile, 0.0 of no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return float(ordered[min(int(len(ordered) * share), len(ordered) - 1)])


def short_after(outcomes: list[Outcome], from_ms: int) -> list[Outcome]:
    """Return the short requests that arrived after the start of the run."""
    return [o for o in outcomes if not o.arrival.is_long and o.arrival.at_ms >= from_ms]


def head_of_line(seed: int, scale: Scale) -> list[str]:
    """Wait of short work with 5% long work at 70% load against none."""
    lines = []
    for hosts, slots in ((2, 4), (6, 8), (8, 8)):
        base = _short_waits(seed, scale, hosts, slots, 0.0, settings(seed))
        lines.append(_wait_line(f"{hosts * slots} slots, no long work", base, base))
        first_come = settings(seed, long_share=1.0, refuses_early=False)
        for name, cfg, told in (
            ("5% long, long lane at 70%", settings(seed), True),
            ("5% long, long lane at 85%", settings(seed, long_share=0.85), True),
            ("5% long, first come first served", first_come, True),
            ("5% long, not told apart by path", settings(seed), False),
        ):
            waits = _short_waits(seed, scale, hosts, slots, 0.05, cfg, told)
            lines.append(_wait_line(f"{hosts * slots} slots, {name}", waits, base))
    return lines


def _short_waits(
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
    """Goodput at three times the capacity against the peak; time to refuse."""
    lines = []
    first_come = settings(seed, long_share=1.0, refuses_early=False)
    for name, cfg in (("with", settings(seed)), ("without", first_come)):
        goodputs = {}
        for load in (0.8, 0.9, 0.95, 1.0, 1.1, 1.5, 3.0):
            outcomes, duration_ms = _overloaded(seed, scale, load, cfg)
            good = sum(_is_good(outcome) for outcome in outcomes)
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


def _overloaded(
    seed: int, scale: Scale, load: float, cfg: ExchangeSettings
) -> tuple[list[Outcome], int]:
    duration_ms = scale.ms(60_000)
    loop = QueueingLoop(build_pool(6, timeout_ms=1_000), cfg, run_normally)
    arrivals = poisson_arrivals(random.Random(seed), load * 480, duration_ms)
    return loop.run(arrivals, drain_ms=5_000), duration_ms


def _is_good(outcome: Outcome) -> bool:
    return outcome.is_whole and not outcome.refusal and outcome.status < 500


def failures(seed: int, scale: Scale) -> list[str]:
    """Failed share when a rack dies at once, and with a tenth that fails it all."""
    lines = []
    for name, reply in (
        ("rack of 2 of 20 refuses connections", _rack_refuses),
        ("rack of 2 of 20 goes silent", _rack_silent),
        ("a tenth answers 500 in 1 ms", _tenth_fails),
    ):
        for variant, cfg in (
            ("all rules", settings(seed)),
            ("no ejection", settings(seed, ejects=False)),
            (
                "no ejection, two choices without weight",
                settings(seed, ejects=False, picker=TwoChoicesPicker()),
            ),
            (
                "no ejection, least outstanding",
                settings(seed, ejects=False, picker=LeastOutstandingPicker()),
            ),
        ):
            for method in ("GET", "POST"):
                outcomes = _with_failures(seed, scale, reply, cfg, method)
                lines.append(f"{name}; {method:4s} {variant:42s} {_failed(outcomes)}")
    return lines


def _with_failures(
    seed: int,
    scale: Scale,
    reply: Callable[[str, int, int], Reply],
    cfg: ExchangeSettings,
    method: str = "GET",
    load: float = 0.6,
) -> list[Outcome]:
    duration_ms = scale.ms(20_000)
    loop = QueueingLoop(build_pool(20, timeout_ms=10_000), cfg, reply)
    rng = random.Random(seed)
    arrivals = poisson_arrivals(rng, load * 1_600, duration_ms, method=method)
    return loop.run(arrivals, drain_ms=20_000)


def _failed(outcomes: list[Outcome]) -> str:
    failed = sum(not _is_good(outcome) for outcome in outcomes) / len(outcomes)
    attempts = sum(outcome.attempts for outcome in outcomes) / len(outcomes)
    answers = [outcome.answer_ms for outcome in outcomes if _is_good(outcome)]
    return (
        f"failed {failed:7.3%} attempts a request {attempts:.3f} "
        f"p99 answer {percentile(answers, 0.99):6.0f} ms"
    )


def _rack_refuses(host: str, run_ms: int, now_ms: int) -> Reply:
    if host <= "h0001" and now_ms >= 3_000:
        return Reply(1, result=AttemptResult.NOT_SENT, detail="connection refused")
    return Reply(run_ms)


def _rack_silent(host: str, run_ms: int, now_ms: int) -> Reply:
    if host <= "h0001" and now_ms >= 3_000:
        return Reply(3_600_000)
    return Reply(run_ms)


def _tenth_fails(host: str, run_ms: int, now_ms: int) -> Reply:
    return Reply(1, status=500) if host <= "h0001" else Reply(run_ms)


def health_rules(seed: int, scale: Scale) -> list[str]:
    """Each rule of classification on and off, in the case that it is for."""
    lines = []
    for name, reply, rule in (
        ("local faults for 5 s", _local_faults, "spare_environment_errors"),
        ("rate limit at 90% load", _rate_limited, "spare_rate_limits"),
        ("a tenth answers empty", _empty_success, "reject_empty_success"),
    ):
        for is_on in (True, False):
            cfg = settings(seed, rules=VerdictRules(**{rule: is_on}))
            outcomes = _with_failures(seed, scale, reply, cfg, load=0.9)
            empty = sum(o.is_whole and o.status == 299 for o in outcomes)
            lines.append(
                f"{name:24s} rule {'on ' if is_on else 'off'} {_failed(outcomes)} "
                f"empty answers {empty / len(outcomes):7.3%}"
            )
    return lines


def _local_faults(host: str, run_ms: int, now_ms: int) -> Reply:
    if 3_000 <= now_ms < 8_000 and (now_ms + run_ms) % 2:
        detail = "local: no descriptor"
        return Reply(1, result=AttemptResult.NOT_SENT, detail=detail)
    return Reply(run_ms)


def _rate_limited(host: str, run_ms: int, now_ms: int) -> Reply:
    if 3_000 <= now_ms < 8_000 and run_ms % 10 < 6:
        return Reply(1, status=429)
    return Reply(run_ms)


def _empty_success(host: str, run_ms: int, now_ms: int) -> Reply:
    return Reply(1, 299, b"") if host <= "h0001" else Reply(run_ms)


def pickers(seed: int, scale: Scale) -> list[str]:
    """Each picker with upstreams of unequal speed, at 70% of their capacity."""
    lines = []
    for name, picker in PICKERS.items():
        cfg = settings(seed, picker=picker, adapts_limit=False)
        outcomes = _with_failures(seed, scale, _unequal, cfg, load=0.7)
        answers = [o.answer_ms for o in outcomes if _is_good(o)]
        lines.append(
            f"{name:30s} p50 answer {percentile(answers, 0.5):5.0f} ms "
            f"p99 {percentile(answers, 0.99):5.0f} ms {_failed(outcomes)}"
        )
    return lines


def _unequal(host: str, run_ms: int, now_ms: int) -> Reply:
    return Reply(run_ms * 4 if host <= "h0001" else run_ms)


def pick_cost(seed: int, scale: Scale) -> list[str]:
    """Processor time a pick, and a whole request, from 10 to 1,000 upstreams."""
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
