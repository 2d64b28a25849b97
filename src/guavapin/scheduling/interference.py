"""Learns which images slow down which others that run beside them.

Answers the load pattern of a host whose subtasks disturb one another although their
reservations fit. The evidence of an image is compared with that of the same image
elsewhere at the same time, so that these causes are not mistaken for a neighbour:

* A slow executor is slow without the neighbour too, or for other images, and is left
  out. One executor alone proves nothing.
* A failing executor gives no evidence: only runs that ended as done count, and the
  caller leaves out hosts with failures.
* A job with long run times counts as one value, however many subtasks it has.
* On a full host, evidence is compared with that from other full hosts.

The module performs no input or output. Times are monotonic, in milliseconds.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from bisect import bisect_right
from collections import OrderedDict
from collections import defaultdict
from collections import deque
from dataclasses import dataclass
from enum import Enum
from statistics import median
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

# Loads and run times older than this are ignored. Amounts change within seconds. Loads
# arrive every half second, run times only with the ends of runs.
LOAD_EVIDENCE_MS = 4_000
RUN_EVIDENCE_MS = 8_000

# Loads are compared with those of the same interval, since the latency of a service
# follows its demand, which turns within seconds. A load covers half a second.
INTERVAL_MS = 2_000

# Bounds of the table. A sample takes about 170 bytes, so all of them take 7 MB at most.
MAX_IMAGES = 400
MAX_SAMPLES = 96
MAX_NEIGHBOURS = 16
MAX_PAIRS = 256
MAX_EXECUTORS = 2_000
MAX_RATED_IMAGES = 8

# Images of which the evidence is judged in one pass. One takes up to 1.5 ms.
IMAGES_PER_PASS = 8

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

# Standard scores of the rank-sum test from which a pair is found, and down to which its
# evidence is renewed. A score of 3 is exceeded by chance once in 700 comparisons.
FOUND_SCORE = 3.0
RENEWED_SCORE = 1.6

# Time after which half of a slowdown is left if no evidence renews it.
HALF_LIFE_MS = 5_000


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


@dataclass(frozen=True, slots=True)
class Pair:
    """An image that is slowed down by another one beside it.

    `slowdown` is the factor as of `renewed_ms`. `confidence` is the probability that
    samples as slow do not occur by chance.
    """

    image: str
    neighbour: str
    measure: Measure
    slowdown: float
    confidence: float
    executors: int
    samples: int
    found_ms: int
    renewed_ms: int

    def slowdown_at(self, now_ms: int) -> float:
        """Return the slowdown at a time; it fades unless evidence renews it."""
        share: float = 0.5 ** ((now_ms - self.renewed_ms) / HALF_LIFE_MS)
        return 1 + (self.slowdown - 1) * share


@dataclass(frozen=True, slots=True)
class PairChange:
    """A pair that is found, or dropped for a `reason`; it is "" for one found."""

    pair: Pair
    reason: str = ""


class _Comparison(NamedTuple):
    slowdown: float
    score: float
    executors: int
    samples: int


class InterferenceTable:
    """Evidence and pairs of a term; only the scheduler changes it."""

    def __init__(self) -> None:
        self._samples: OrderedDict[tuple[str, Measure], deque[Sample]] = OrderedDict()
        # Images with new samples since they were judged last, in order.
        self._changed: dict[tuple[str, Measure], None] = {}
        self._pairs: dict[tuple[str, str], Pair] = {}
        self._paired_images: set[str] = set()
        # Slowness of each executor by image, and when it was judged.
        self._rates: OrderedDict[str, OrderedDict[str, tuple[float, int]]]
        self._rates = OrderedDict()

    def __len__(self) -> int:
        return len(self._pairs)

    def add(self, image: str, measure: Measure, sample: Sample) -> None:
        """Add a sample, unless its value is not positive or it has many neighbours."""
        if sample.value <= 0 or len(sample.neighbours) > MAX_NEIGHBOURS:
            return
        key = image, measure
        samples = self._samples.get(key)
        if samples is None:
            samples = self._samples[key] = deque(maxlen=MAX_SAMPLES)
            if len(self._samples) > MAX_IMAGES:
                removed, _ = self._samples.popitem(last=False)
                self._changed.pop(removed, None)
        self._samples.move_to_end(key)
        samples.append(sample)
        self._changed[key] = None

    def is_concerned(self, image: str) -> bool:
        """Return whether an image belongs to a pair."""
        return image in self._paired_images

    def penalty(self, image: str, others: Iterable[str], now_ms: int) -> float:
        """Return how much an image would slow down others and be slowed by them.

        0 means that no pair is known; 0.5 that one image takes half as long again.
        """
        total = 0.0
        for other in others:
            for key in ((image, other), (other, image)):
                pair = self._pairs.get(key)
                if pair is not None:
                    total += pair.slowdown_at(now_ms) - 1
        return total

    def pairs(self) -> list[Pair]:
        """Return the known pairs, sorted by image and neighbour."""
        return [self._pairs[key] for key in sorted(self._pairs)]

    def judge(self, now_ms: int) -> list[PairChange]:
        """Judge images with new evidence, and return the pairs found and dropped."""
        changes: list[PairChange] = []
        for key in [*self._changed][:IMAGES_PER_PASS]:
            del self._changed[key]
            changes += self._judge_image(*key, now_ms)
        for pair in [*self._pairs.values()]:
            if pair.slowdown_at(now_ms) < DROPPED_SLOWDOWN:
                changes.append(self._drop(pair, "no evidence renews it"))
        if changes:
            self._paired_images = {image for key in self._pairs for image in key}
        return changes

    def _judge_image(
        self, image: str, measure: Measure, now_ms: int
    ) -> Iterator[PairChange]:
        samples = self._samples[image, measure]
        is_load = measure is not Measure.RUN_TIME
        age_ms = LOAD_EVIDENCE_MS if is_load else RUN_EVIDENCE_MS
        while samples and now_ms - samples[0].at_ms > age_ms:
            samples.popleft()
        if not samples:
            del self._samples[image, measure]
            return
        self._rate_executors(image, samples, now_ms)
        pool = [
            row for row in samples if not self._is_slow(row.executor_id, image, now_ms)
        ]
        judged: set[str] = set()
        # The neighbour with the clearest evidence explains the samples beside it, so
        # that another image that often runs beside both is not blamed for them.
        while True:
            neighbours = {name for row in pool for name in row.neighbours} - judged
            results = [
                (found, name)
                for name in sorted(neighbours)
                if (found := _compare(pool, name, measure)) is not None
            ]
            if not results:
                return
            found, name = max(results, key=lambda row: (row[0].score, row[1]))
            judged.add(name)
            if found.score < RENEWED_SCORE or found.slowdown < DROPPED_SLOWDOWN:
                for other, neighbour in results:
                    pair = self._pairs.get((image, neighbour))
                    is_own = pair is not None and pair.measure is measure
                    if (
                        pair is not None
                        and is_own
                        and other.slowdown < DROPPED_SLOWDOWN
                    ):
                        yield self._drop(pair, "no longer slower beside it")
                return
            yield from self._record(image, name, measure, found, now_ms)
            pool = [row for row in pool if name not in row.neighbours]

    def _record(
        self, image: str, name: str, measure: Measure, found: _Comparison, now_ms: int
    ) -> Iterator[PairChange]:
        known = self._pairs.get((image, name))
        is_found = found.score >= FOUND_SCORE and found.slowdown >= FOUND_SLOWDOWN
        if known is None and (not is_found or len(self._pairs) >= MAX_PAIRS):
            return
        pair = Pair(
            image,
            name,
            measure,
            found.slowdown,
            0.5 * (1 + math.erf(found.score / math.sqrt(2))),
            found.executors,
            found.samples,
            now_ms if known is None else known.found_ms,
            now_ms,
        )
        self._pairs[image, name] = pair
        if known is None:
            yield PairChange(pair)

    def _drop(self, pair: Pair, reason: str) -> PairChange:
        del self._pairs[pair.image, pair.neighbour]
        return PairChange(pair, reason)

    def _rate_executors(
        self, image: str, samples: Iterable[Sample], now_ms: int
    ) -> None:
        """Record how slow an image is on each executor, against all of them."""
        by_executor: dict[str, list[float]] = defaultdict(list)
        for row in samples:
            by_executor[row.executor_id].append(row.value)
        if len(by_executor) <= MIN_EXECUTORS:
            return
        medians = {name: median(values) for name, values in by_executor.items()}
        usual = median(medians.values())
        for executor_id, value in medians.items():
            rates = self._rates.setdefault(executor_id, OrderedDict())
            self._rates.move_to_end(executor_id)
            rates[image] = value / usual, now_ms
            rates.move_to_end(image)
            if len(rates) > MAX_RATED_IMAGES:
                rates.popitem(last=False)
        while len(self._rates) > MAX_EXECUTORS:
            self._rates.popitem(last=False)

    def _is_slow(self, executor_id: str, image: str, now_ms: int) -> bool:
        """Return whether an executor is slow for all other images too.

        A neighbour that disturbs two images does not slow itself down, so that the
        fastest of the other images shows the speed of the executor.
        """
        rates = [
            rate
            for other, (rate, at_ms) in self._rates.get(executor_id, {}).items()
            if other != image and now_ms - at_ms <= RUN_EVIDENCE_MS
        ]
        return bool(rates) and min(rates) >= FOUND_SLOWDOWN


def _compare(
    samples: Iterable[Sample], neighbour: str, measure: Measure
) -> _Comparison | None:
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
    return _Comparison(slowdown, score, executors, len(slow))


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
