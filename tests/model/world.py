"""Model of several schedulers, the store, executors and machines under faults.

The real tasks of each entry host run on a simulated clock: duty, scheduler, ledger,
followers and machine orders. The store, the network, executors and machines are models
that lose and delay calls. `World.violations` collects the broken promises.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from guavapin.duties.holder_tracker import HolderTrackerTask
from guavapin.duties.task import DutyTask
from guavapin.http.messages import Answered
from guavapin.http.messages import PeerCall
from guavapin.http.messages import PeerReply
from guavapin.http.messages import Unanswered
from guavapin.intake.peer_calls import PeerCallsTask
from guavapin.intake.reachability import CutOff
from guavapin.intake.reachability import ReachabilityTask
from guavapin.intake.task import IntakeTask
from guavapin.jobs.access import Access
from guavapin.jobs.calls import Accepted
from guavapin.jobs.calls import CancelJob
from guavapin.jobs.calls import NoSuchJob
from guavapin.jobs.calls import QueryJob
from guavapin.jobs.calls import StateIs
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.model import Job
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Resources
from guavapin.jobs.model import Step
from guavapin.kernel.clock import ManualClock
from guavapin.kernel.task import TimerHandle
from guavapin.keyvalue.follower import PrefixFollower
from guavapin.ledger.task import LedgerTask
from guavapin.machines.task import FOLLOW_MAINTAINED
from guavapin.machines.task import FOLLOW_WAVES
from guavapin.machines.task import MAINTAINED_PREFIX
from guavapin.machines.task import MachinesTask
from guavapin.resident import DUTY
from guavapin.resident import DUTY_KEY
from guavapin.resident import DUTY_TERMS
from guavapin.scheduling.handover import HANDOVER_PREFIX
from guavapin.scheduling.messages import JobReply
from guavapin.scheduling.messages import JobRequest
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.scheduling.record import INBOX_PREFIX
from guavapin.scheduling.record import JOBS_PREFIX
from guavapin.scheduling.record import PROGRESS_PREFIX
from guavapin.scheduling.task import FOLLOW_HANDOVER
from guavapin.scheduling.task import FOLLOW_INBOX
from guavapin.scheduling.task import FOLLOW_JOBS
from guavapin.scheduling.task import FOLLOW_PROGRESS
from guavapin.scheduling.task import FOLLOW_REGISTRY
from guavapin.scheduling.task import HandOver
from guavapin.scheduling.task import SchedulerTask
from guavapin.serving.messages import AnswerBody
from guavapin.serving.messages import AnswerEnd
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import SetReady
from guavapin.serving.request_handler import WholeRequest
from tests.model.cancellations import CancellationCheck
from tests.model.executors import Fleet
from tests.model.executors import MachineCodec
from tests.model.executors import WaveCodec
from tests.model.queries import QueryCheck
from tests.model.store import Store
from tests.model.waiting import WaitingCheck
from tests.scheduling.simulation import QUEUE
from tests.scheduling.simulation import TABLE
from tests.scheduling.simulation import TIMES

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.jobs.queues import Queue
    from guavapin.jobs.queues import QueueTable
    from guavapin.settings.resident import Times

LATENCY_MS = (1, 6)

# Longest time for which nothing fails at the end. The backlog of a seed takes up to a
# minute on five executors, and a run that outlasts a lease another 12 s for each step.
CALM_MS = 120_000

CAPPED_CALM_MS = 600_000

# Deadline of a caller that cancels a job, and how often it cancels without an answer.
CANCEL_DEADLINE_MS = 3_000
MAX_CANCEL_ATTEMPTS = 12

# Time until a process that has ended by itself runs again.
RESTART_MS = 500

# Time from the last end of a subtask until every node shows its job as ended.
SETTLE_MS = 15_000


@dataclass
class NodeContext:
    """`TaskContext` of one task on a simulated node."""

    node: Node
    name: str

    @property
    def clock(self) -> ManualClock:
        return self.node.world.clock

    def now_ms(self) -> int:
        return self.clock.now_ms()

    def idle_ms(self) -> int:
        return self.clock.now_ms()

    def send(self, service: str, message: object) -> None:
        self.node.queue.append((service, message))

    def set_timer(self, delay_ms: int, message: object) -> TimerHandle:
        handle = TimerHandle(self.node.world.next_number())
        self.node.timers.add(handle.timer_id)
        self.node.world.schedule(delay_ms, self._fire, handle, message)
        return handle

    def cancel_timer(self, handle: TimerHandle) -> None:
        self.node.timers.discard(handle.timer_id)

    def _fire(self, handle: TimerHandle, message: object) -> None:
        if handle.timer_id in self.node.timers:
            self.node.deliver(self.name, message, handle)


class CallCodec:
    """Codec of callers' requests: a body is the key of a call or answer kept here."""

    deadline_header = b"x-deadline-ms"
    key_header = b"authorization"

    def read_key(self, value: str) -> str:
        return value

    def __init__(self) -> None:
        self.calls: dict[bytes, Any] = {}
        self.answers: dict[bytes, Any] = {}

    def decode(
        self, queue: Any, method: str, path: str, body: bytes, _: int, organisation: str
    ) -> Any:
        return self.calls.pop(body)

    def encode(self, answer: Any) -> tuple[int, tuple[()], bytes]:
        body = str(len(self.answers)).encode()
        self.answers[body] = answer
        return 200, (), body


class Observer:
    """Ignores the metrics of calls."""

    def observe_call(self, call: str, answer: str, elapsed_ms: int) -> None:
        pass


class Node:
    """One process of an entry host.

    While `frozen_until_ms` is ahead, it handles nothing. A node that is not
    `is_alive` is gone, with all its calls.
    """

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.is_alive, self.reaches_store, self.reaches_peers = True, True, True
        # Whether the store turns the calls of this node away, without an effect.
        self.is_refused_by_store = False
        # Time of the last change of readiness to false, 0 while the node is ready.
        self.unready_since_ms = 0
        # Unset for the earlier policy, in which a cut off node rejects no call at once.
        self.rejects_when_cut_off = True
        self.frozen_until_ms = 0
        self.silent: set[str] = set()
        self.queue: deque[tuple[str, object]] = deque()
        self.timers: set[int] = set()
        self.is_pumping = False
        self.address = f"{name}:1"
        holder = f"{name}@{self.address}#0"
        self.codec = CallCodec()
        self.intake = IntakeTask(self.codec, holder, Observer())
        self.scheduler = SchedulerTask(world.fleet, world.times, DUTY, DUTY_KEY)
        wait_ms = 2_000
        followers = [
            PrefixFollower(name, prefix, (reader,), wait_ms, delay_ms, is_eager=eager)
            for name, prefix, reader, delay_ms, eager in (
                ("follow_duty", DUTY_KEY, "roster", 0, True),
                (FOLLOW_JOBS, JOBS_PREFIX, "scheduler", 0, False),
                (FOLLOW_PROGRESS, PROGRESS_PREFIX, "scheduler", 0, False),
                (FOLLOW_INBOX, INBOX_PREFIX, "scheduler", 50, False),
                (FOLLOW_REGISTRY, world.fleet.prefix, "scheduler", 150, False),
                (FOLLOW_HANDOVER, HANDOVER_PREFIX, "scheduler", 0, False),
                (FOLLOW_WAVES, WaveCodec.prefix, "machines", 0, False),
                (FOLLOW_MAINTAINED, MAINTAINED_PREFIX, "machines", 0, False),
            )
        ]
        workers = ("machines", "scheduler")
        machines = MachinesTask(MachineCodec(), WaveCodec(), TIMES, name, DUTY_KEY)
        tasks: list[Any] = [
            self.scheduler,
            LedgerTask("scheduler"),
            machines,
            self.intake,
            PeerCallsTask(),
            ReachabilityTask("ready_front", "intake", DUTY_KEY),
            DutyTask(DUTY, holder, workers, terms=DUTY_TERMS),
            HolderTrackerTask(
                DUTY_KEY,
                f"duty_{DUTY}",
                ("scheduler", "intake"),
                seed=world.next_number(),
            ),
            *followers,
        ]
        self.tasks = {task.name: task for task in tasks}
        for task in tasks:
            task.start(NodeContext(self, task.name))
        self.apply_table(world.table)

    def apply_table(self, table: QueueTable) -> None:
        """Put a table in force in this process."""
        for service in ("scheduler", "machines", "intake", "reach"):
            self.deliver(service, QueueTableChanged(table))

    def receive(
        self, number: int, call: Any, deadline_ms: int, queue: Queue = QUEUE
    ) -> None:
        """Receive a caller's request with a deadline; `number` identifies it."""
        if self._is_deferred(self.receive, number, call, deadline_ms, queue):
            return
        body = str(number).encode()
        self.codec.calls[body] = call
        headers = (
            (b"host", queue.host.encode()),
            (CallCodec.deadline_header, str(deadline_ms).encode()),
        )
        now_ms = self.world.clock.now_ms()
        req = WholeRequest(number, "POST", queue.prefix, headers, body, now_ms)
        self._handle("intake", self.intake.handle_request, req)
        self._pump()

    def receive_peer_call(self, number: int, call: PeerCall) -> None:
        """Receive a call of another node."""
        if self._is_deferred(self.receive_peer_call, number, call):
            return
        now_ms = self.world.clock.now_ms()
        req = WholeRequest(number, call.method, call.path, (), call.body, now_ms)
        self._handle("peer_desk", self.tasks["peer_desk"].handle_request, req)
        self._pump()

    def deliver(
        self, service: str, message: object, timer: TimerHandle | None = None
    ) -> None:
        """Handle a message now, or when the node is no longer frozen."""
        if self._is_deferred(self.deliver, service, message, timer):
            return
        if timer is not None:
            if timer.timer_id not in self.timers:
                return
            self.timers.discard(timer.timer_id)
        self.queue.append((service, message))
        self._pump()

    def hand_over(self) -> None:
        """Stop gracefully, as after a SIGTERM; the process ends soon after it."""
        self.world.cancellations.disturb()
        self.world.waiting.record_planned_stop()
        self.deliver("scheduler", HandOver())

    def _pump(self) -> None:
        if self.is_pumping:
            return
        self.is_pumping = True
        while self.queue and self.is_alive:
            service, message = self.queue.popleft()
            task = self.tasks.get(service)
            if isinstance(message, CutOff) and not self.rejects_when_cut_off:
                continue
            if task is not None:
                self._handle(service, task.handle, message)
            else:
                self.world.handle(self, service, message)
        self.is_pumping = False

    def _handle(
        self, service: str, function: Callable[[Any], None], message: object
    ) -> None:
        """Let a task handle a message; an exception that leaves it ends the process."""
        try:
            function(message)
        except Exception as exc:
            self.world.end_process(self, f"{service}: {exc!r}")

    def _is_deferred(self, function: Callable[..., None], *args: Any) -> bool:
        """Return True without a process, or if it is frozen and called again later."""
        left_ms = self.frozen_until_ms - self.world.clock.now_ms()
        if self.is_alive and left_ms > 0:
            self.world.schedule(left_ms, function, *args)
        return not self.is_alive or left_ms > 0


@dataclass
class Submission:
    """Job as its caller sees it; `accepted_ms` is 0 before the acknowledgement.

    `ended_ms` is the time at which a final state was first shown. `is_refused` is set
    once all attempts to submit the job were rejected.
    """

    job: Job
    accepted_ms: int = 0
    is_cancelled: bool = False
    shown: set[JobState] = field(default_factory=set)
    ended_ms: int = 0
    is_refused: bool = False

    @property
    def access(self) -> Access:
        return Access(self.job.organisation, self.job.queue)

    @property
    def is_owed(self) -> bool:
        """Whether the job has to end: long-running ones go on until cancelled."""
        is_lasting = any(step.is_long_running for step in self.job.steps)
        return self.accepted_ms > 0 and not self.is_cancelled and not is_lasting

    def is_expired(self, world: World) -> bool:
        """Return whether the job ended so long ago that it need not be known."""
        since_ms = world.clock.now_ms() - self.ended_ms
        return self.ended_ms > 0 and since_ms > world.times.ended_job_retention_ms


class SteppedClock(ManualClock):
    """Clock whose wall time differs from its monotonic time by `step_ms`."""

    step_ms = 0

    def wall_ms(self) -> int:
        """Return the monotonic time and the steps of the wall clock so far."""
        return self.now_ms() + self.step_ms


class World:
    """Nodes, store and fleet on one clock, with faults drawn from a seed."""

    def __init__(
        self,
        seed: int,
        nodes: int = 3,
        machines: int = 5,
        table: QueueTable = TABLE,
        times: Times = TIMES,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = SteppedClock(1_000_000)
        self.violations: list[str] = []
        self.calm_ms = CALM_MS
        self.times = times
        if table.organisations:
            # The backlog takes longer under caps, and ended jobs are still queried.
            self.calm_ms = CAPPED_CALM_MS
            retention_ms = 2 * CAPPED_CALM_MS
            self.times = replace(times, ended_job_retention_ms=retention_ms)
        self.table = table
        # Tables with the times at which they came into force, for the caps.
        self.tables = [(self.clock.now_ms(), table)]
        self.submissions: dict[str, Submission] = {}
        # Returns the service of the queue at the host to which a job is submitted.
        self.submitted_service: Callable[[], str] = lambda: QUEUE.service
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = 0
        self.has_faults = True
        # Unset for processes that start again after they have ended by themselves.
        self.reports_ended_processes = True
        self.cancellations = CancellationCheck(self)
        self.queries = QueryCheck(self)
        self.waiting = WaitingCheck(self)
        self.calls: dict[int, Callable[[JobReply], None]] = {}
        # Callers that wait for an answer at a front, by request.
        self.callers: dict[int, Callable[[Any], None]] = {}
        self._peer_calls: dict[int, tuple[Node, PeerCall]] = {}
        self._peer_answers: dict[int, tuple[int, bytes]] = {}
        self.store = Store(self)
        self.fleet = Fleet(self, machines)
        self.nodes = [Node(self, f"n{number}") for number in range(nodes)]

    def change_table(self, table: QueueTable) -> None:
        """Put a table in force at every process; frozen ones apply it later."""
        self.table = table
        self.tables.append((self.clock.now_ms(), table))
        self.waiting.disturb()
        for node in self.nodes:
            node.apply_table(table)

    def next_number(self) -> int:
        self._number += 1
        return self._number

    def schedule(
        self, delay_ms: int, function: Callable[..., None], *args: Any
    ) -> None:
        due_ms = self.clock.now_ms() + max(delay_ms, 0)
        heapq.heappush(self._events, (due_ms, self.next_number(), function, args))

    def latency_ms(self) -> int:
        return self.rng.randint(*LATENCY_MS)

    def disturb(self) -> None:
        """Record that a fault acts at this moment."""
        self.cancellations.disturb()
        self.waiting.disturb()

    def report(self, rule: str, detail: str) -> None:
        self.violations.append(f"{self.clock.now_ms() - 1_000_000} ms {rule}: {detail}")

    def run(self, duration_ms: int) -> None:
        """Handle all events of the next `duration_ms`."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, function, args = heapq.heappop(self._events)
            self.clock.advance(max(due_ms - self.clock.now_ms(), 0))
            function(*args)
            if self.violations:
                return
        self.clock.advance(end_ms - self.clock.now_ms())

    def handle(self, node: Node, service: str, message: Any) -> None:
        """Handle a message to a service outside of the model's nodes."""
        if service == "platform":
            self.store.handle(node, message)
        elif service == "http" and isinstance(message, PeerCall):
            self._send_peer_call(node, message)
        elif service in ("executors", "http"):
            self.fleet.handle(node, service, message)
        elif service == "front" and isinstance(message, AnswerBody):
            answer = node.codec.answers[message.data]
            # A caller whose deadline has passed is gone.
            callback = self.callers.pop(message.request_id, None)
            if callback is not None:
                callback(answer)
        elif service == "peer_front":
            self._answer_peer_call(message)
        elif isinstance(message, SetReady):
            node.unready_since_ms = 0 if message.is_ready else self.clock.now_ms()
        elif isinstance(message, JobReply):
            reply_to = self.calls.pop(message.request_id, None)
            if reply_to is not None:
                reply_to(message)

    def request(
        self,
        node: Node,
        call: Any,
        deadline_ms: int,
        callback: Callable[[Any], None],
        queue: Queue = QUEUE,
    ) -> int:
        """Send a caller's request to a node; `callback` gets the answer.

        Returns the number of the request.
        """
        number = self.next_number()
        self.callers[number] = callback
        node.receive(number, call, deadline_ms, queue)
        return number

    def _send_peer_call(self, node: Node, call: PeerCall) -> None:
        number = self.next_number()
        self._peer_calls[number] = (node, call)
        for other in self.nodes:
            is_reached = node.reaches_peers and other.reaches_peers
            if other.address == call.address and other.is_alive and is_reached:
                delay_ms = self.latency_ms()
                self.schedule(delay_ms, other.receive_peer_call, number, call)
        self.schedule(
            call.timeout_ms, self._end_peer_call, number, Unanswered(True, "")
        )

    def _answer_peer_call(self, message: Any) -> None:
        number = message.request_id
        if isinstance(message, AnswerHead):
            self._peer_answers[number] = (message.status, b"")
        elif isinstance(message, AnswerBody):
            self._peer_answers[number] = (self._peer_answers[number][0], message.data)
        elif isinstance(message, AnswerEnd):
            outcome = Answered(*self._peer_answers.pop(number))
            self.schedule(self.latency_ms(), self._end_peer_call, number, outcome)

    def _end_peer_call(self, number: int, outcome: Any) -> None:
        node, call = self._peer_calls.pop(number, (None, None))
        if node is not None and call is not None:
            node.deliver(call.reply_to, PeerReply(call.request_id, outcome))

    def call(self, call: Any, callback: Callable[[JobReply], None]) -> None:
        """Send a call about a job to the scheduler of a node, known to it or not."""
        number = self.next_number()
        self.calls[number] = callback
        node = self.rng.choice([node for node in self.nodes if node.is_alive])
        for other in self.nodes:
            # Intake forwards calls to the scheduler that it knows, which may be gone.
            if other.is_alive and other.scheduler._scheduler is not None:
                node = other if self.rng.random() < 0.8 else node
        node.deliver("scheduler", JobRequest("caller", number, call))

    def submit(self) -> None:
        """Submit a new job, and at times again, with one or two steps."""
        self._submit(self.draw_submission())

    def draw_submission(self) -> Submission:
        """Return a new job with one or two steps, which its caller has yet to send."""
        job_id = f"{self.rng.randrange(1 << 62):016x}"
        count = self.rng.randint(1, 4)
        need = Resources(self.rng.choice([2_000, 6_000, 12_000]), 1_000, 0)
        steps = (Step(count, need, 600),)
        if self.rng.random() < 0.5:
            steps += (Step(self.rng.randint(1, 3), need, 600, after=(0,)),)
        job = Job(job_id, QUEUE.key, self.submitted_service(), "spec", steps)
        if self.table.organisations:
            owner = self.rng.choice(self.table.organisations)
            job = replace(job, organisation=owner.name)
        self.submissions[job_id] = Submission(job)
        return self.submissions[job_id]

    def submit_job(self, job: Job) -> None:
        """Submit a job."""
        self.submissions[job.job_id] = Submission(job)
        self._submit(self.submissions[job.job_id])

    def _submit(self, submission: Submission) -> None:
        def handle(reply: JobReply) -> None:
            if isinstance(reply.answer, Accepted):
                submission.accepted_ms = submission.accepted_ms or self.clock.now_ms()
            elif reply.answer is None and not reply.may_have_effect:
                self.store.submit_without_scheduler(submission)

        self.call(SubmitJob(submission.job), handle)
        # A caller without an answer submits the job again, at times after an answer.
        if self.rng.random() < 0.3:
            delay_ms = self.rng.randint(200, 4_000)
            self.schedule(delay_ms, self.call, SubmitJob(submission.job), handle)

    def cancel(self) -> None:
        """Cancel a recent job; it is not owed any more from the call on."""
        if self.submissions:
            submission = self.rng.choice([*self.submissions.values()][-5:])
            submission.is_cancelled = True

            def handle(reply: JobReply) -> None:
                if isinstance(reply.answer, Accepted):
                    self._acknowledge(submission)

            self.call(CancelJob(submission.job.job_id, submission.access), handle)

    def cancel_at(self, node: Node, submission: Submission, attempt: int = 1) -> None:
        """Cancel a job at a node, and then at any node until that is acknowledged.

        It is not owed any more from the call on.
        """
        submission.is_cancelled = True
        # A job that is accepted has to be known.
        must_exist = submission.accepted_ms > 0

        def handle(answer: Any) -> None:
            is_gone = isinstance(answer, NoSuchJob) and must_exist
            if isinstance(answer, Accepted) or is_gone:
                self._acknowledge(submission)
            elif not isinstance(answer, NoSuchJob):
                self.schedule(self.rng.randint(50, 1_000), repeat)

        def repeat() -> None:
            if attempt < MAX_CANCEL_ATTEMPTS:
                other = self.rng.choice(self.nodes)
                self.cancel_at(other, submission, attempt + 1)

        def expire() -> None:
            if self.callers.pop(number, None) is not None:
                repeat()

        queue = self.table.queue(submission.job.queue) or QUEUE
        call = CancelJob(submission.job.job_id)
        number = self.request(node, call, CANCEL_DEADLINE_MS, handle, queue)
        self.schedule(CANCEL_DEADLINE_MS, expire)

    def _acknowledge(self, submission: Submission) -> None:
        job_id = submission.job.job_id
        has_runs = any(row.job_id == job_id for row in self.fleet.running())
        self.cancellations.acknowledge(job_id, has_runs)

    def query(self) -> None:
        """Query the state of a random job and check what is shown."""
        if not self.submissions:
            return
        submission = self.rng.choice([*self.submissions.values()])
        self.query_job(submission)

    def query_job(self, submission: Submission) -> None:
        """Query the state of a job and check it."""

        def handle(reply: JobReply) -> None:
            if isinstance(reply.answer, StateIs):
                self.check_state(submission, reply.answer.state)

        self.call(QueryJob(submission.job.job_id, submission.access), handle)

    def check_state(self, submission: Submission, state: JobState) -> None:
        """Check a state that a caller was shown."""
        job = submission.job
        submission.shown.add(state)
        if state.is_final:
            submission.ended_ms = submission.ended_ms or self.clock.now_ms()
        if state is JobState.SUCCEEDED and not self.fleet.is_job_done(job):
            self.report("MIXED", f"{job.job_id} shown as succeeded before its end")
        if state is JobState.CANCELLED and not submission.is_cancelled:
            self.report("LOST", f"{job.job_id} shown as cancelled")
        has_cause = submission.is_cancelled or self.fleet.has_failed(job)
        if state is JobState.FAILED and not has_cause:
            self.report("LOST", f"{job.job_id} shown as failed")

    def restart(self, node: Node) -> None:
        """Kill the process of a node and start another one."""
        self.disturb()
        self._replace(node)

    def stop(self, node: Node, delay_ms: int) -> None:
        """Stop a node gracefully and start it again after a delay."""
        node.hand_over()
        self.schedule(delay_ms, self._replace, node)

    def end_process(self, node: Node, detail: str) -> None:
        """Report a process that ends by itself, or start it again soon after."""
        if self.reports_ended_processes:
            self.report("ENDED", f"{node.name} {detail}")
        elif node.is_alive:
            node.is_alive = False
            self.schedule(RESTART_MS, self._replace, node)

    def _replace(self, node: Node) -> None:
        if node not in self.nodes:
            return
        node.is_alive = False
        fresh = Node(self, f"{node.name.partition('.')[0]}.{self.next_number()}")
        self.nodes[self.nodes.index(node)] = fresh

    def cut_zone(self, node: Node) -> None:
        """Cut a node with some executors off from the store and the other nodes."""
        executors = [*self.fleet.executors]
        inside = set(self.rng.sample(executors, len(executors) // 2))
        node.reaches_store = False
        for other in self.nodes:
            others = set(executors) - inside if other is node else inside
            other.silent.update(others)

    def heal(self) -> None:
        """End all faults."""
        self.has_faults = False
        self.store.is_down = False
        for node in self.nodes:
            node.reaches_store, node.frozen_until_ms = True, 0
            node.reaches_peers, node.is_refused_by_store = True, False
            node.silent.clear()
        self.fleet.heal()

    def check_running(self) -> None:
        """Check what runs and what waits, and note the faults that act now."""
        now_ms = self.clock.now_ms()
        is_impaired = self.store.is_down or any(
            node.frozen_until_ms > now_ms
            or node.is_refused_by_store
            or not (node.reaches_store and node.reaches_peers)
            for node in self.nodes
        )
        if is_impaired or self.fleet.is_an_executor_down():
            self.disturb()
        elif self.fleet.is_impaired() or any(node.silent for node in self.nodes):
            self.cancellations.disturb()
        self.waiting.record_cut_off(self.fleet.cut_off())
        self.cancellations.check_running(self.fleet.running())
        self.waiting.check()

    def run_until_ended(self) -> None:
        """Run without faults until all owed jobs have ended, at most for `calm_ms`."""
        self.queries.begin_calm()
        self.run(1_000)
        self._await_ends()

    def _await_ends(self) -> None:
        end_ms = self.clock.now_ms() + self.calm_ms
        while self.clock.now_ms() < end_ms and not self.violations:
            if all(map(self._has_ended, self.submissions.values())):
                return
            self.run(1_000)

    def count_ended(self) -> int:
        """Count the jobs that have ended or are not owed."""
        return sum(map(self._has_ended, self.submissions.values()))

    def _has_ended(self, submission: Submission) -> bool:
        job = submission.job
        has_ended = self.fleet.is_job_done(job) or self.fleet.has_failed(job)
        return not submission.is_owed or has_ended

    def check_end(self) -> None:
        """Check after a calm time that every accepted job has ended."""
        self.run(SETTLE_MS)
        # A process that was suspended may have accepted a job meanwhile.
        self._await_ends()
        if not any(node.scheduler._scheduler for node in self.nodes):
            self.report("LOST", "no node schedules")
        for submission in self.submissions.values():
            submission.shown.clear()
        for _ in range(8):
            for submission in self.submissions.values():
                self.query_job(submission)
            self.run(100)
        self.queries.check_refused()
        for submission in self.submissions.values():
            expected = {JobState.SUCCEEDED}
            if self.fleet.has_failed(submission.job):
                expected.add(JobState.FAILED)
            if submission.is_owed and not expected & submission.shown:
                self.report("LOST", f"{submission.job.job_id} did not end")
