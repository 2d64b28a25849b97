"""Check of rule LOST: queries of accepted jobs at the fronts of all nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from guavapin.jobs.calls import Accepted
from guavapin.jobs.calls import NoSuchJob
from guavapin.jobs.calls import QueryJob
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import StateIs
from guavapin.jobs.calls import SubmitJob
from tests.model.cancellations import STABLE_MS

if TYPE_CHECKING:
    from tests.model.world import Node
    from tests.model.world import Submission
    from tests.model.world import World

# Time after an acknowledgement from which every node knows the job, `visible_ms`.
VISIBLE_MS = 3_000

# Deadline of a caller, and how often it repeats a request.
DEADLINE_MS = 3_000
MAX_RETRIES = 4

# Delay before a request is repeated.
RETRY_MS = (50, 500)


class QueryCheck:
    """Callers that query and submit jobs at any node at any moment.

    A query breaks the rule if an accepted job is not known later than `VISIBLE_MS`
    after its acknowledgement, or if it has a final state without cause. In a calm time,
    from `STABLE_MS` after the last fault on, it also breaks the rule if none of its
    attempts is answered with a state.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        # Begin of the calm time, 0 while faults may happen.
        self._calm_ms = 0
        # Number of answers with a state, and of those in the calm time.
        self.answered = self.answered_in_calm = 0

    def begin_calm(self) -> None:
        """Record that no fault happens from now on."""
        self._calm_ms = self._world.clock.now_ms() + STABLE_MS

    def query(self, node: Node, submission: Submission, attempt: int = 0) -> None:
        """Query a job at a node, and then at any node until a state is shown."""
        world = self._world
        sent_ms = world.clock.now_ms()

        def handle(answer: Any) -> None:
            if isinstance(answer, StateIs):
                self.answered += 1
                self.answered_in_calm += self._is_calm(sent_ms)
                world.check_state(submission, answer.state)
            elif isinstance(answer, NoSuchJob):
                self._check_unknown(node, submission, sent_ms)
            else:
                repeat(repr(answer))

        def repeat(outcome: str) -> None:
            if attempt < MAX_RETRIES:
                delay_ms = world.rng.randint(*RETRY_MS)
                other = world.rng.choice(world.nodes)
                world.schedule(delay_ms, self.query, other, submission, attempt + 1)
            elif submission.accepted_ms and self._is_calm(sent_ms):
                job_id = submission.job.job_id
                world.report("LOST", f"{job_id} at {node.name}: {outcome}")

        def expire() -> None:
            if world.callers.pop(number, None) is not None:
                repeat("no answer")

        call = QueryJob(submission.job.job_id, submission.access)
        number = world.request(node, call, DEADLINE_MS, handle)
        world.schedule(DEADLINE_MS, expire)

    def submit(
        self,
        node: Node,
        submission: Submission,
        attempt: int = 0,
        may_run: bool = False,
    ) -> None:
        """Submit a job at a node, and then at any node until it is accepted.

        `may_run` is set once an attempt was not rejected.
        """
        world = self._world

        def handle(answer: Any) -> None:
            if isinstance(answer, Accepted):
                submission.accepted_ms = submission.accepted_ms or world.clock.now_ms()
            else:
                repeat(may_run or not isinstance(answer, Rejected))

        def repeat(may_run: bool) -> None:
            if attempt < MAX_RETRIES:
                delay_ms = world.rng.randint(*RETRY_MS)
                other = world.rng.choice(world.nodes)
                world.schedule(
                    delay_ms, self.submit, other, submission, attempt + 1, may_run
                )
            else:
                submission.is_refused = not may_run

        def expire() -> None:
            if world.callers.pop(number, None) is not None:
                repeat(True)

        call = SubmitJob(submission.job)
        number = world.request(node, call, DEADLINE_MS, handle)
        world.schedule(DEADLINE_MS, expire)

    def check_refused(self) -> None:
        """Check that no job ran of which all submissions were rejected."""
        for submission in self._world.submissions.values():
            job_id = submission.job.job_id
            if submission.is_refused and job_id in self._world.fleet.started_jobs:
                self._world.report("REFUSED", f"{job_id} ran")

    def query_all(self) -> None:
        """Query every job at every node."""
        for submission in self._world.submissions.values():
            for node in self._world.nodes:
                self.query(node, submission)

    def _is_calm(self, sent_ms: int) -> bool:
        return 0 < self._calm_ms <= sent_ms

    def _check_unknown(self, node: Node, submission: Submission, sent_ms: int) -> None:
        accepted_ms = submission.accepted_ms
        if not accepted_ms or sent_ms <= accepted_ms + VISIBLE_MS:
            return
        if submission.is_cancelled or submission.is_expired(self._world):
            return
        job_id = submission.job.job_id
        self._world.report("LOST", f"{job_id} is not known at {node.name}")
