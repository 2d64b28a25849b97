"""Compares samples of an image beside a neighbour with the others; pure."""

from __future__ import annotations

import math
from bisect import bisect_left
from bisect import bisect_right
from collections import defaultdict
from enum import Enum
from statistics import median
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

# Loads are compared with those of the same interval, since the latency of a service
# follows its demand, which turns within seconds. A load covers half a second.
INTERVAL_MS = 2_000

# Fewest samples of an image without a neighbour in one interval, and fewest samples,
# executors and jobs with the neighbour, for a comparison. The run times of two jobs out
# of a hundred are several times the mean, so that three jobs are needed.
MIN_BASELINE = 3
MIN_SAMPLES = 4
MIN_EXECUTORS = 2
MIN_JOBS = 3

# A pair is found from this slowdown on, and dropped below the lower one.
FOUND_SLOWDOWN = 1.25
DROPPED_SLOWDOWN = 1.1


class Measure(Enum):
    """What a sample measures; a larger value is a slower subtask in each case.

    `LATENCY` is the tail latency in ms. `RUN_TIME` is the run time of an ended run in
    ms, divided by its estimate if there is one. `PROCESSOR` is the reserved processor
    time divided by that in use.
    """

    LATENCY = "latency"
    RUN_TIME = "run time"
    PROCESSOR = "processor"


class Sample(NamedTuple):
    """One figure of a subtask and the images that ran beside it."""

    at_ms: int
    executor_id: str
    job_id: str
    value: float
    neighbours: frozenset[str]
    is_full: bool


class Comparison(NamedTuple):
    """Slowdown beside a neighbour, standard score, and the evidence behind both."""

    slowdown: float
    score: float
    executors: int
    samples: int


def slower_beside(samples: list[Sample]) -> set[str]:
    """Return the neighbours that are worth a comparison.

    It costs far more than this look at the medians, which leaves most neighbours out.
    """
    beside: dict[str, list[float]] = defaultdict(list)
    for row in samples:
        for name in row.neighbours:
            beside[name].append(row.value)
    slower = set()
    for name, values in beside.items():
        others = [row.value for row in samples if name not in row.neighbours]
        if len(values) >= MIN_JOBS and len(others) >= MIN_BASELINE:
            values.sort()
            others.sort()
            middle = others[len(others) // 2]
            if values[len(values) // 2] >= middle * DROPPED_SLOWDOWN:
                slower.add(name)
    return slower


def compare(
    samples: Iterable[Sample], neighbour: str, measure: Measure
) -> Comparison | None:
    """Compare the samples beside a neighbour with the others, None if too few.

    Values are divided by the median of the others under the same conditions.
    """
    beside: dict[tuple[bool, int], list[Sample]] = defaultdict(list)
    others: dict[tuple[bool, int], list[Sample]] = defaultdict(list)
    for row in samples:
        interval = 0 if measure is Measure.RUN_TIME else row.at_ms // INTERVAL_MS
        group = beside if neighbour in row.neighbours else others
        group[row.is_full, interval].append(row)
    slow: list[tuple[Sample, float]] = []
    base: list[tuple[Sample, float]] = []
    for condition, rows in beside.items():
        usual_rows = others.get(condition, [])
        if len(usual_rows) < MIN_BASELINE:
            continue
        usual = median(row.value for row in usual_rows)
        if usual > 0:
            slow += [(row, row.value / usual) for row in rows]
            base += [(row, row.value / usual) for row in usual_rows]
    # An executor that is slow without the neighbour too says nothing about it.
    alone: dict[str, list[float]] = defaultdict(list)
    for row, value in base:
        alone[row.executor_id].append(value)
    slow_alone = {
        name for name, values in alone.items() if median(values) >= FOUND_SLOWDOWN
    }
    slow = [row for row in slow if row[0].executor_id not in slow_alone]
    executors = len({row.executor_id for row, _ in slow})
    slow_values, base_values = _values(slow, measure), _values(base, measure)
    min_samples = MIN_JOBS if measure is Measure.RUN_TIME else MIN_SAMPLES
    if executors < MIN_EXECUTORS or len(slow_values) < min_samples or not base_values:
        return None
    usual = median(base_values)
    slowdown = median(slow_values) / usual if usual > 0 else 1.0
    score = _rank_sum_score(slow_values, base_values)
    return Comparison(slowdown, score, executors, len(slow))


def _values(rows: Iterable[tuple[Sample, float]], measure: Measure) -> list[float]:
    """Return the values to compare.

    The latency varies with the load, so that each sample is one value. The run times of
    one job vary together, and so does its processor use on one executor: they are one
    value each.
    """
    if measure is Measure.LATENCY:
        return [value for _, value in rows]
    groups: dict[tuple[str, str], list[float]] = defaultdict(list)
    for row, value in rows:
        executor_id = row.executor_id if measure is Measure.PROCESSOR else ""
        groups[row.job_id, executor_id].append(value)
    return [median(values) for values in groups.values()]


def _rank_sum_score(slow: list[float], base: list[float]) -> float:
    """Return the standard score of the rank-sum test that `slow` has larger values."""
    ordered = sorted(base)
    wins = sum(
        (bisect_left(ordered, value) + bisect_right(ordered, value)) / 2
        for value in slow
    )
    pairs = len(slow) * len(base)
    deviation = math.sqrt(pairs * (len(slow) + len(base) + 1) / 12)
    return (wins - pairs / 2) / deviation
