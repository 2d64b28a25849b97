"""Callers of a load, which come back as they are told to."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from guavapin.jobs.calls import Accepted
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.model import Job
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from tests.model.world import Submission
from tests.scheduling.simulation import QUEUE

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.loads.patterns import Load
    from tests.model.world import Node
    from tests.model.world import World


@dataclass
class Caller:
    """One job with the times and the answers of the attempts to submit it."""

    submission: Submission
    first_ms: int
    sent_ms: list[int] = field(default_factory=list)
    answered_ms: list[int] = field(default_factory=list)
    answers: list[Any] = field(default_factory=list)

    @property
    def is_accepted(self) -> bool:
        return bool(self.answers) and isinstance(self.answers[-1], Accepted)

    @property
    def is_always_rejected(self) -> bool:
        return all(isinstance(answer, Rejected) for answer in self.answers)


class Callers:
    """Submits the jobs of a load to the fronts that `choose_node` returns."""

    def __init__(
        self, world: World, load: Load, choose_node: Callable[[], Node]
    ) -> None:
        self._world, self._load, self._choose_node = world, load, choose_node
        self.all: list[Caller] = []
        for at_ms in range(0, load.duration_ms, load.interval_ms):
            world.schedule(at_ms, self._arrive)

    def _arrive(self) -> None:
        world, load = self._world, self._load
        job_id = f"{world.rng.randrange(1 << 62):016x}"
        steps = (Step(load.count, Resources(load.cpu_millis, 1_000, 0), 600),)
        job = Job(job_id, QUEUE.key, "pool", "spec", steps)
        submission = world.submissions[job_id] = Submission(job)
        caller = Caller(submission, world.clock.now_ms())
        self.all.append(caller)
        self._send(caller)

    def _send(self, caller: Caller) -> None:
        world = self._world
        now_ms = world.clock.now_ms()
        left_ms = caller.first_ms + self._load.budget_ms - now_ms
        if left_ms <= 0:
            return
        node = self._choose_node()
        caller.sent_ms.append(now_ms)

        def handle(answer: Any) -> None:
            caller.answered_ms.append(world.clock.now_ms())
            caller.answers.append(answer)
            if isinstance(answer, Accepted):
                caller.submission.accepted_ms = world.clock.now_ms()
            if (
                isinstance(answer, Rejected)
                and len(caller.sent_ms) <= self._load.retries
            ):
                world.schedule(answer.retry_after_ms, self._send, caller)

        call = SubmitJob(caller.submission.job)
        world.request(node, call, left_ms, handle)
