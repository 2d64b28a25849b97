"""Evidence of interference from reports of hosts and from ends of runs."""

from __future__ import annotations

import logging
from collections import Counter
from collections import OrderedDict
from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeVar

from guavapin.scheduling.interference import InterferenceTable
from guavapin.scheduling.interference import PairChange
from guavapin.scheduling.interference_comparison import Measure
from guavapin.scheduling.interference_comparison import Sample
from guavapin.scheduling.run import RunPhase

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.scheduling.host import Host
    from guavapin.scheduling.run import Run
    from guavapin.scheduling.step_run import StepRun

# Interval between two samples of one host. A load covers the last half second.
SAMPLE_INTERVAL_MS = 500

# Time after the start of a run from which its load covers only this run, and time
# after which it has run beside others for half of what their loads cover.
SETTLED_MS = 500
MIN_BESIDE_MS = 250

# Pace in percent from which a filler counts as a neighbour. Samples beside a slower one
# are left out; a filler that is paced to 0 is no neighbour.
MIN_NEIGHBOUR_PACE = 40

# Share of a run during which an image must have run beside it to be its neighbour.
MIN_SHARED_TIME = 1 / 3

# Reserved share of processor time from which a host is full.
FULL_SHARE = 0.9

# Bounds of the ended runs that are kept to find the neighbours of those that end later.
MAX_ENDED_RUNS = 24
MAX_HOSTS = 2_000

# Characters of an image in a log line. Callers choose its name.
MAX_LOGGED_IMAGE = 120

T = TypeVar("T")

log = logging.getLogger("guavapin.scheduling.interference")


class _Ended(NamedTuple):
    image: str
    started_ms: int
    ended_ms: int


class InterferenceEvidence:
    """Turns the events of runs into samples; only the scheduler changes it.

    Nothing is kept, and next to nothing computed, for runs without an image.
    """

    def __init__(self, find_step: Callable[[Run], StepRun | None]) -> None:
        self.table = InterferenceTable()
        self._find_step = find_step
        # Time of the last sample of each host, and its ended runs.
        self._sampled_ms: OrderedDict[str, int] = OrderedDict()
        self._ended: OrderedDict[str, deque[_Ended]] = OrderedDict()

    def record_report(self, host: Host, now_ms: int) -> None:
        """Add samples of the loads that a report of a host has just listed."""
        last_ms = self._sampled_ms.get(host.executor_id, -SAMPLE_INTERVAL_MS)
        if now_ms - last_ms < SAMPLE_INTERVAL_MS or not _is_reliable(host, now_ms):
            return
        runs = [run for run in host.runs.values() if run.image]
        if not runs:
            return
        _put_bounded(self._sampled_ms, host.executor_id, now_ms)
        present: Counter[str] = Counter()
        for run in runs:
            if 0 < run.pace < MIN_NEIGHBOUR_PACE:
                return
            is_beside = now_ms - run.started_ms >= MIN_BESIDE_MS
            present[run.image] += run.pace > 0 and is_beside
        is_full = _is_full(host)
        for run in runs:
            is_settled = now_ms - run.started_ms >= SETTLED_MS
            if run.phase is not RunPhase.RUNNING or not is_settled:
                continue
            if run.is_filler or run.load <= 0:
                continue
            step_run = self._find_step(run)
            if step_run is None:
                continue
            measure, value = Measure.LATENCY, run.load
            if not step_run.step.target_ms:
                measure = Measure.PROCESSOR
                value = step_run.step.need.cpu_millis / run.load
            neighbours = frozenset(
                image
                for image, count in present.items()
                if count and image != run.image
            )
            job_id = run.subtask.job_id
            sample = Sample(
                now_ms, host.executor_id, job_id, value, neighbours, is_full
            )
            self.table.add(run.image, measure, sample)

    def record_end(
        self, host: Host, run: Run, step_run: StepRun | None, is_done: bool, now_ms: int
    ) -> None:
        """Add a sample of the run time of a run that has just been removed."""
        if not run.image:
            return
        ended = self._ended.get(host.executor_id)
        if ended is None:
            ended = deque(maxlen=MAX_ENDED_RUNS)
        run_ms = now_ms - run.started_ms
        is_measured = is_done and run.pace == 100 and run_ms > 0
        if step_run is not None and is_measured and _is_reliable(host, now_ms):
            shared_ms: Counter[str] = Counter()
            for other in ended:
                begun_ms = max(run.started_ms, other.started_ms)
                shared_ms[other.image] += max(other.ended_ms - begun_ms, 0)
            for running in host.runs.values():
                if running.image:
                    begun_ms = max(run.started_ms, running.started_ms)
                    shared_ms[running.image] += now_ms - begun_ms
            neighbours = frozenset(
                image
                for image, time_ms in shared_ms.items()
                if time_ms >= run_ms * MIN_SHARED_TIME and image != run.image
            )
            value = run_ms / max(step_run.step.estimate_ms, 1)
            sample = Sample(
                now_ms,
                host.executor_id,
                run.subtask.job_id,
                value,
                neighbours,
                _is_full(host),
            )
            self.table.add(run.image, Measure.RUN_TIME, sample)
        ended.append(_Ended(run.image, run.started_ms, now_ms))
        _put_bounded(self._ended, host.executor_id, ended)

    def judge(self, now_ms: int) -> None:
        """Judge new evidence, and log the pairs that are found and dropped."""
        for change in self.table.judge(now_ms):
            self._log(change)

    def _log(self, change: PairChange) -> None:
        pair = change.pair
        extra = {
            "image": pair.image[:MAX_LOGGED_IMAGE],
            "neighbour": pair.neighbour[:MAX_LOGGED_IMAGE],
            "measure": pair.measure.value,
            "slowdown": round(pair.slowdown, 2),
            "confidence": round(pair.confidence, 4),
            "executors": pair.executors,
            "samples": pair.samples,
            "pairs": len(self.table),
        }
        if change.reason:
            extra |= {"reason": change.reason}
            log.info("interference dropped", extra=extra)
        else:
            log.info("interference found", extra=extra)


def _is_reliable(host: Host, now_ms: int) -> bool:
    """Return whether a host does not fail at present."""
    is_set_aside = now_ms < host.set_aside_until_ms
    return host.health.is_good and not host.unanswered and not is_set_aside


def _is_full(host: Host) -> bool:
    capacity = host.registration.capacity.cpu_millis
    return host.used.cpu_millis >= capacity * FULL_SHARE


def _put_bounded(table: OrderedDict[str, T], key: str, value: T) -> None:
    """Put a value, and remove the one that was put first if there are too many."""
    table[key] = value
    table.move_to_end(key)
    if len(table) > MAX_HOSTS:
        table.popitem(last=False)
