"""A pool of executors that run subtasks for a set time, some of them faulty."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.executors.model import EndKind
from guavapin.executors.model import Start
from guavapin.jobs.model import Job
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from tests.scheduling.simulation import QUEUE
from tests.scheduling.simulation import FakeExecutor
from tests.scheduling.simulation import Simulation

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from guavapin.jobs.model import Subtask
    from guavapin.jobs.terms import QueueTerms

TICK_MS = 50


@dataclass
class FaultyExecutor(FakeExecutor):
    """Executor that is faulty up to a time of `now_ms`.

    Until then, a share of its runs fails after `fail_after_ms`, and a share of its
    calls has the connection reset.
    """

    faulty_until_ms: int = 0
    failing_share: float = 0.0
    fail_after_ms: int = 100
    reset_share: float = 0.0


class PoolReplay:
    """Runs jobs on a simulated pool; `run_ms` returns the run time of a subtask."""

    def __init__(
        self,
        seed: int,
        executors: Sequence[FakeExecutor],
        run_ms: Callable[[random.Random], int],
        own_failures: float = 0.03,
    ) -> None:
        self.rng = random.Random(seed)
        self.sim = Simulation([*executors])
        self.submitted_ms: dict[str, int] = {}
        self.ended_ms: dict[str, int] = {}
        self.failures = 0
        self._run_ms, self._own_failures = run_ms, own_failures
        self._seed = seed
        self._ends: dict[tuple, tuple[int, EndKind]] = {}
        self._attempts: defaultdict[Subtask, list[int]] = defaultdict(list)
        self.sim.list_machines()
        self.sim.advance(200)

    def submit(
        self, *steps: Step, queue: str = QUEUE.key, terms: QueueTerms = QUEUE.terms
    ) -> Job:
        job_id = f"{len(self.submitted_ms):016x}"
        job = Job(job_id, queue, "pool", "spec", steps, terms=terms)
        self.submitted_ms[job_id] = self.sim.now_ms
        self.sim.submit(job)
        return job

    def advance(self, duration_ms: int) -> None:
        for _ in range(duration_ms // TICK_MS):
            self._update_reachability()
            self.sim.advance(TICK_MS, TICK_MS)
            self._end_runs()
            self.sim.run()
            for job_id in self.submitted_ms:
                job_run = self.sim.scheduler.jobs.by_id[job_id]
                if job_run.state.is_final:
                    self.ended_ms.setdefault(job_id, self.sim.now_ms)

    def late_count(self, objective_ms: int) -> int:
        """Count the jobs that have not succeeded within their objective."""
        return sum(
            self.sim.scheduler.jobs.by_id[job_id].state is not JobState.SUCCEEDED
            or self.ended_ms[job_id] - submitted_ms > objective_ms
            for job_id, submitted_ms in self.submitted_ms.items()
        )

    def run_time_ms(self, subtask: Subtask, rng: random.Random) -> int:
        """Return the run time of a run that does not fail early, in ms."""
        return self._run_ms(rng)

    def _update_reachability(self) -> None:
        for executor in self.sim.executors.values():
            if isinstance(executor, FaultyExecutor):
                is_faulty = self.sim.now_ms < executor.faulty_until_ms
                share = executor.reset_share if is_faulty else 0.0
                executor.is_reachable = self.rng.random() >= share

    def _end_runs(self) -> None:
        for name, executor in self.sim.executors.items():
            for subtask, attempt in [*executor.running.items()]:
                key = (name, subtask, attempt)
                if key not in self._ends:
                    draw = f"{self._seed}/{subtask}/{len(self._attempts[subtask])}"
                    self._attempts[subtask].append(attempt)
                    self._ends[key] = self._draw_end(
                        executor, subtask, random.Random(draw)
                    )
                end_ms, kind = self._ends[key]
                if self.sim.now_ms >= end_ms and subtask not in executor.stopping:
                    self.failures += kind is EndKind.FAILED
                    executor.end(subtask, kind)

    def _draw_end(
        self, executor: FakeExecutor, subtask: Subtask, rng: random.Random
    ) -> tuple[int, EndKind]:
        """Return the end of a run, drawn by its subtask and the number of its try."""
        now_ms = self.sim.now_ms
        is_failed = rng.random() < self._own_failures
        run_ms = self.run_time_ms(subtask, rng)
        if isinstance(executor, FaultyExecutor) and now_ms < executor.faulty_until_ms:
            is_failed = is_failed or rng.random() < executor.failing_share
            run_ms = executor.fail_after_ms if is_failed else run_ms
        return now_ms + run_ms, EndKind.FAILED if is_failed else EndKind.DONE


def step(count: int, cpu_millis: int, estimate_ms: int, after: int | None = None):
    """Return a step of plain subtasks, after an earlier step if one is given."""
    row = Step(count, Resources(cpu_millis, 1_000, 0), estimate_ms)
    return row if after is None else replace(row, after=(after,))


def count_starts(sim: Simulation, names: set[str]) -> Callable[[], int]:
    """Return a function that returns the starts ordered on these executors from now."""
    count = 0

    def observe(action) -> None:
        nonlocal count
        context = getattr(action, "context", None)
        if context is not None and isinstance(context.order, Start):
            count += context.executor_id in names

    sim.on_action = observe
    return lambda: count
