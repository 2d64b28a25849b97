"""Benchmark cases with failing upstreams and upstreams of unequal speed."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from guavapin.routing.picker import LeastOutstandingPicker
from guavapin.routing.picker import TwoChoicesPicker
from guavapin.routing.verdict import VerdictRules
from guavapin.serving.messages import AttemptResult
from guavapin_bench.policies_loop import QueueingLoop
from guavapin_bench.policies_loop import Reply
from guavapin_bench.policies_loop import poisson_arrivals
from guavapin_bench.policies_support import PICKERS
from guavapin_bench.policies_support import Scale
from guavapin_bench.policies_support import build_pool
from guavapin_bench.policies_support import is_good
from guavapin_bench.policies_support import percentile
from guavapin_bench.policies_support import settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.serving.exchange_settings import ExchangeSettings
    from guavapin_bench.policies_loop import RequestOutcome


def failures(seed: int, scale: Scale) -> list[str]:
    """Return the failed share when a whole rack fails, and when a tenth fails all."""
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
                outcomes = _run_with_failures(seed, scale, reply, cfg, method)
                lines.append(
                    f"{name}; {method:4s} {variant:42s} {_summarise(outcomes)}"
                )
    return lines


def _run_with_failures(
    seed: int,
    scale: Scale,
    reply: Callable[[str, int, int], Reply],
    cfg: ExchangeSettings,
    method: str = "GET",
    load: float = 0.6,
) -> list[RequestOutcome]:
    duration_ms = scale.ms(20_000)
    loop = QueueingLoop(build_pool(20, timeout_ms=10_000), cfg, reply)
    rng = random.Random(seed)
    arrivals = poisson_arrivals(rng, load * 1_600, duration_ms, method=method)
    return loop.run(arrivals, drain_ms=20_000)


def _summarise(outcomes: list[RequestOutcome]) -> str:
    failed = sum(not is_good(outcome) for outcome in outcomes) / len(outcomes)
    attempts = sum(outcome.attempts for outcome in outcomes) / len(outcomes)
    answers = [outcome.answer_ms for outcome in outcomes if is_good(outcome)]
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
    """Return figures with each verdict rule on and off, in the case that it handles."""
    lines = []
    for name, reply, rule in (
        ("local faults for 5 s", _local_faults, "ignore_environment_errors"),
        ("rate limit at 90% load", _rate_limited, "ignore_rate_limits"),
        ("a tenth answers empty", _empty_success, "reject_empty_success"),
    ):
        for is_on in (True, False):
            cfg = settings(seed, rules=VerdictRules(**{rule: is_on}))
            outcomes = _run_with_failures(seed, scale, reply, cfg, load=0.9)
            empty = sum(o.is_whole and o.status == 299 for o in outcomes)
            lines.append(
                f"{name:24s} rule {'on ' if is_on else 'off'} {_summarise(outcomes)} "
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
    """Return figures of each picker with upstreams of unequal speed, at 70% load."""
    lines = []
    for name, picker in PICKERS.items():
        cfg = settings(seed, picker=picker, adapts_limit=False)
        outcomes = _run_with_failures(seed, scale, _unequal, cfg, load=0.7)
        answers = [o.answer_ms for o in outcomes if is_good(o)]
        lines.append(
            f"{name:30s} p50 answer {percentile(answers, 0.5):5.0f} ms "
            f"p99 {percentile(answers, 0.99):5.0f} ms {_summarise(outcomes)}"
        )
    return lines


def _unequal(host: str, run_ms: int, now_ms: int) -> Reply:
    return Reply(run_ms * 4 if host <= "h0001" else run_ms)
