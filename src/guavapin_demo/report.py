"""Builds the report of the demo and checks its promises; pure."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin_demo.callers import Result
from guavapin_demo.table import render_table

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from guavapin_demo.callers import CallerRecord
    from guavapin_standins.upstream_messages import Record

# Promised at the present size; see the design page, section 1.2.
IN_FORCE_LIMIT_MS = 2_000


@dataclass(frozen=True, slots=True)
class Observations:
    """Measurements from outside the processes while the demo ran.

    `margins` maps a pool to its lowest number of available hosts above the budget;
    `spare_host_hours` is the integral of spare hosts over time; `rollout_ms` is
    negative if the maintenance wave did not end. `longest_pause_ms` is the longest time
    for which the process of the demo did not run; it explains waits, and excuses none.
    """

    margins: Mapping[str, int]
    in_force_ms: int
    rollout_ms: int
    host_moves: int
    spare_host_hours: float
    longest_pause_ms: int


@dataclass(frozen=True, slots=True)
class DemoReport:
    """Counts of requests, the four measures, and a text for each broken promise."""

    sent: int
    answered_whole: int
    refused_not_run: int
    outcome_unknown: int
    lost: int
    wrong_answers: int
    run_twice: int
    refused_but_run: int
    slot_violations: int
    lowest_margins: Mapping[str, int]
    in_force_ms: int
    spare_host_hours: float
    rollout_ms: int
    host_moves: int
    short_wait_p99_ms: int
    longest_pause_ms: int
    broken: tuple[str, ...]


def build_report(
    records: Sequence[CallerRecord],
    upstreams: Iterable[Record],
    seen: Observations,
    run_ms_limit: int,
) -> DemoReport:
    """Compare the callers' results with the upstreams' records.

    Requests that run for at most `run_ms_limit` count as short work.
    """
    upstream_records = list(upstreams)
    counts = Counter(record.result for record in records)
    waits_ms = [
        max(record.elapsed_ms - record.request.run_ms, 0)
        for record in records
        if record.result is Result.WHOLE and record.request.run_ms <= run_ms_limit
    ]
    failure_counts = {
        "lost": counts[Result.LOST],
        "wrong answers": counts[Result.WRONG],
        "run twice": count_run_twice(upstream_records),
        "refused as not run, but run": count_refused_but_run(records, upstream_records),
        "slots exceeded": sum(record.violations for record in upstream_records),
    }
    broken = [f"{count} {name}" for name, count in failure_counts.items() if count]
    broken.extend(
        f"pool {pool} was {-margin} hosts below its budget"
        for pool, margin in seen.margins.items()
        if margin < 0
    )
    if seen.in_force_ms > IN_FORCE_LIMIT_MS:
        broken.append(f"a change was in force after {seen.in_force_ms} ms")
    if seen.rollout_ms < 0:
        broken.append("the maintenance wave did not end")
    return DemoReport(
        sent=len(records),
        answered_whole=counts[Result.WHOLE],
        refused_not_run=counts[Result.NOT_RUN],
        outcome_unknown=counts[Result.UNKNOWN],
        lost=counts[Result.LOST],
        wrong_answers=counts[Result.WRONG],
        run_twice=failure_counts["run twice"],
        refused_but_run=failure_counts["refused as not run, but run"],
        slot_violations=failure_counts["slots exceeded"],
        lowest_margins=dict(seen.margins),
        in_force_ms=seen.in_force_ms,
        spare_host_hours=round(seen.spare_host_hours, 4),
        rollout_ms=seen.rollout_ms,
        host_moves=seen.host_moves,
        short_wait_p99_ms=percentile(waits_ms, 0.99),
        longest_pause_ms=seen.longest_pause_ms,
        broken=tuple(broken),
    )


def count_run_twice(upstream_records: Iterable[Record]) -> int:
    """Count non-idempotent requests that ran more than once, by idempotency key."""
    by_key = Counter(
        run.idempotency_key
        for record in upstream_records
        for run in record.runs
        if run.idempotency_key
    )
    return sum(count > 1 for count in by_key.values())


def count_refused_but_run(
    records: Iterable[CallerRecord], upstream_records: Iterable[Record]
) -> int:
    """Count requests refused as not run that an upstream ran nevertheless."""
    identities = {
        run.request_identity for record in upstream_records for run in record.runs
    }
    return sum(
        record.result is Result.NOT_RUN and record.request.identity in identities
        for record in records
    )


def percentile(values: Sequence[int], share: float) -> int:
    """Return the smallest value that `share` of the values do not exceed, or 0."""
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[math.ceil(share * len(ordered)) - 1]


def render_report(report: DemoReport) -> str:
    """Return the report as a text table."""
    lines: list[tuple[str, object]] = [
        ("requests sent", report.sent),
        ("answered whole", report.answered_whole),
        ("refused as not run", report.refused_not_run),
        ("outcome unknown", report.outcome_unknown),
        ("lost", report.lost),
        ("wrong answers", report.wrong_answers),
        ("run twice", report.run_twice),
        ("refused as not run, but run", report.refused_but_run),
        ("slots exceeded", report.slot_violations),
        *(
            (f"lowest margin above the budget, {pool}", f"{margin} hosts")
            for pool, margin in sorted(report.lowest_margins.items())
        ),
        ("change in force everywhere after", f"{report.in_force_ms / 1_000:.2f} s"),
        ("spare held", f"{report.spare_host_hours} host-hours"),
        ("roll-out of the wave", f"{report.rollout_ms / 1_000:.1f} s"),
        ("host moves", report.host_moves),
        ("wait of short work, p99", f"{report.short_wait_p99_ms} ms"),
        ("longest pause of this process", f"{report.longest_pause_ms} ms"),
    ]
    verdict = "; ".join(report.broken) or "all promises kept"
    return render_table([*lines, ("verdict", verdict)])
