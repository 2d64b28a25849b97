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
from collections import OrderedDict
from collections import defaultdict
from collections import deque
from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING

from guavapin.scheduling.interference_comparison import DROPPED_SLOWDOWN
from guavapin.scheduling.interference_comparison import FOUND_SLOWDOWN
from guavapin.scheduling.interference_comparison import MIN_EXECUTORS
from guavapin.scheduling.interference_comparison import Measure
from guavapin.scheduling.interference_comparison import compare
from guavapin.scheduling.interference_comparison import slower_beside

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from guavapin.scheduling.interference_comparison import Comparison
    from guavapin.scheduling.interference_comparison import Sample

# Loads and run times older than this are ignored. Amounts change within seconds. Loads
# arrive every half second, run times only with the ends of runs.
LOAD_EVIDENCE_MS = 4_000
RUN_EVIDENCE_MS = 8_000

# Bounds of the table. A sample takes about 170 bytes, so all of them take 7 MB at most.
MAX_IMAGES = 400
MAX_SAMPLES = 96
MAX_NEIGHBOURS = 16
MAX_PAIRS = 256
MAX_EXECUTORS = 2_000
MAX_RATED_IMAGES = 8

# Images of which the evidence is judged in one pass. One takes up to 1 ms.
IMAGES_PER_PASS = 8

# Standard scores of the rank-sum test from which a pair is found, by loads and by the
# fewer run times, and down to which its evidence is renewed. Hundreds of pairs are
# compared every second, so that a score must also last for `CONFIRM_MS`.
FOUND_LOAD_SCORE = 3.5
FOUND_RUN_SCORE = 3.0
RENEWED_SCORE = 1.6
CONFIRM_MS = 1_500

# Time after which half of a slowdown is left if no evidence renews it.
HALF_LIFE_MS = 5_000


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


class InterferenceTable:
    """Evidence and pairs of a term; only the scheduler changes it."""

    def __init__(self) -> None:
        self._samples: OrderedDict[tuple[str, Measure], deque[Sample]] = OrderedDict()
        # Images with new samples since they were judged last, in order.
        self._changed: dict[tuple[str, Measure], None] = {}
        self._pairs: dict[tuple[str, str], Pair] = {}
        self._paired_images: set[str] = set()
        # Pairs that may be found: since when, and when they were judged last.
        self._suspected: dict[tuple[str, str], tuple[int, int]] = {}
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
            neighbours = slower_beside(pool) | self._known_neighbours(image)
            results = [
                (found, name)
                for name in sorted(neighbours - judged)
                if (found := compare(pool, name, measure)) is not None
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

    def _known_neighbours(self, image: str) -> set[str]:
        if image not in self._paired_images:
            return set()
        return {neighbour for other, neighbour in self._pairs if other == image}

    def _record(
        self, image: str, name: str, measure: Measure, found: Comparison, now_ms: int
    ) -> Iterator[PairChange]:
        known = self._pairs.get((image, name))
        if known is None and not self._is_confirmed(
            image, name, measure, found, now_ms
        ):
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

    def _is_confirmed(
        self, image: str, name: str, measure: Measure, found: Comparison, now_ms: int
    ) -> bool:
        """Return whether the evidence of a pair has been clear for long enough."""
        is_run_time = measure is Measure.RUN_TIME
        min_score = FOUND_RUN_SCORE if is_run_time else FOUND_LOAD_SCORE
        first_ms, last_ms = self._suspected.pop((image, name), (now_ms, now_ms))
        if found.score < min_score or found.slowdown < FOUND_SLOWDOWN:
            return False
        if now_ms - last_ms > CONFIRM_MS:
            first_ms = now_ms
        has_place = len(self._pairs) < MAX_PAIRS
        if now_ms - first_ms >= CONFIRM_MS:
            return has_place
        self._suspected[image, name] = first_ms, now_ms
        if len(self._suspected) > MAX_PAIRS:
            del self._suspected[next(iter(self._suspected))]
        return False

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
