"""The `publisher` task: runs publications in turn and garbage-collects chunks."""

from __future__ import annotations

import random
import uuid
from collections import Counter
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.kernel.task import Call
from guavapin.keyvalue.messages import Delete
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import KeyRevision
from guavapin.keyvalue.messages import Listed
from guavapin.keyvalue.messages import ListPrefix
from guavapin.keyvalue.messages import Put
from guavapin.keyvalue.messages import Reply
from guavapin.objects.check import check
from guavapin.publication import publisher
from guavapin.publication.collector import removable_chunks
from guavapin.publication.head import CHUNK_PREFIX
from guavapin.publication.head import HEAD_KEY
from guavapin.publication.head import decode_head
from guavapin.publication.messages import ConfigurationAdopted
from guavapin.publication.messages import Publish
from guavapin.publication.messages import Published
from guavapin.publication.messages import PublisherStatus
from guavapin.publication.messages import PublishRequest
from guavapin.publication.messages import PublishResult
from guavapin.publication.messages import PublishSet
from guavapin.publication.messages import QueryPublisher
from guavapin.publication.messages import Rollback
from guavapin.publication.messages import SubscribeConfiguration
from guavapin.publication.plan import PublicationContext
from guavapin.publication.plan import validate_request
from guavapin.publication.publisher import DeleteAudit
from guavapin.publication.publisher import Finish
from guavapin.publication.publisher import Job
from guavapin.publication.publisher import Operation
from guavapin.publication.publisher import Perform
from guavapin.publication.publisher import RetryLater
from guavapin.publication.snapshot import split

if TYPE_CHECKING:
    from concurrent.futures import Future

    from guavapin.kernel.task import TaskContext
    from guavapin.keyvalue.messages import PlatformOutcome

MAX_QUEUED = 64
PUBLICATION_TIMEOUT_MS = 10_000
COLLECT_EVERY_GENERATIONS = 16


@dataclass(frozen=True, slots=True)
class _QueuedRequest:
    request_number: int
    request: PublishRequest
    fut: Future[Any]


@dataclass(frozen=True, slots=True)
class _RetryDue:
    request_number: int
    operation_id: int


@dataclass(frozen=True, slots=True)
class _DeadlinePassed:
    request_number: int


@dataclass(frozen=True, slots=True)
class _OperationCall:
    request_number: int
    operation_id: int


@dataclass(frozen=True, slots=True)
class _CollectorList:
    """The list of chunks was requested."""


@dataclass(frozen=True, slots=True)
class _CollectorHead:
    listed: tuple[KeyRevision, ...]


@dataclass(frozen=True, slots=True)
class _Removal:
    """A key is being removed; if that fails, a later collection removes it."""


class PublisherTask:
    """Handles the calls `Publish`, `PublishSet` and `Rollback`, one at a time.

    Each request ends within `PUBLICATION_TIMEOUT_MS` of its arrival.
    """

    name = "publisher"

    def __init__(self, configuration: str = "configuration", seed: int = 0) -> None:
        self._configuration = configuration
        # For the jitter of retries only.
        self._random = random.Random(seed)
        self._queue: deque[_QueuedRequest] = deque()
        self._active: _QueuedRequest | None = None
        self._job: Job | None = None
        self._chunk_cache: dict[str, bytes] = {}
        self._cached_generation = 0
        self._adopted: ConfigurationAdopted | None = None
        self._min_generation = 0
        self._last_request_number = 0
        self._calls: dict[int, object] = {}
        self._next_request_id = 1
        self._is_collecting = False
        self.counters: Counter[str] = Counter()

    def start(self, context: TaskContext) -> Outcome[None]:
        """Subscribe to the configuration in force."""
        self._context = context
        if self._configuration:
            context.send(self._configuration, SubscribeConfiguration(self.name))
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a call, a platform reply, a timer or an adopted configuration."""
        match message:
            case Call(Publish() | PublishSet() | Rollback() as request, fut):
                self._accept(request, fut)
            case Call(QueryPublisher(), fut):
                if fut.set_running_or_notify_cancel():
                    waiting = len(self._queue) + (self._active is not None)
                    fut.set_result(PublisherStatus(waiting, dict(self.counters)))
            case Reply(request_id, outcome):
                self._on_reply(request_id, outcome)
            case _RetryDue(request_number, operation_id):
                if self._job is not None and self._is_active(request_number):
                    self._apply(*publisher.on_retry_due(self._job, operation_id))
            case _DeadlinePassed(request_number):
                self._on_expired(request_number)
            case ConfigurationAdopted(generation, _):
                self._adopted = message
                self._min_generation = max(self._min_generation, generation)
            case _:
                self.counters["unexpected_messages"] += 1

    def stop(self) -> None:
        """Refuse the queued requests and end the active one."""
        refusal = Refused(Reason.STOPPING, "nothing was published")
        while self._queue:
            self._queue.popleft().fut.set_result(refusal)
        if self._active is not None and self._job is not None:
            _, actions = publisher.on_expired(self._job)
            self._end(self._active, actions)

    def _accept(self, request: PublishRequest, fut: Future[Any]) -> None:
        if not fut.set_running_or_notify_cancel():
            return
        refusal = validate_request(request)
        if refusal is None and len(self._queue) >= MAX_QUEUED:
            refusal = Refused(Reason.OVERLOADED, f"{MAX_QUEUED} publications wait")
        if refusal is not None:
            fut.set_result(refusal)
            return
        self._last_request_number += 1
        self._queue.append(_QueuedRequest(self._last_request_number, request, fut))
        self._context.set_timer(
            PUBLICATION_TIMEOUT_MS, _DeadlinePassed(self._last_request_number)
        )
        self._begin_next()

    def _begin_next(self) -> None:
        if self._active is not None or not self._queue:
            return
        self._active = self._queue.popleft()
        request = self._active.request
        publication_id = request.publication_id or uuid.uuid4().hex
        context = PublicationContext(
            publication_id, self._context.clock.wall_ms(), check
        )
        job = Job(request, context, self._min_generation, chunks=self._cached_chunks())
        self._apply(*publisher.begin(job))

    def _cached_chunks(self) -> dict[str, bytes]:
        """Return the chunks of the last job and those in force, which need no read."""
        adopted, self._adopted = self._adopted, None
        if adopted is not None and adopted.generation > self._cached_generation:
            self._chunk_cache = {**self._chunk_cache, **split(adopted.objects)}
            self._cached_generation = adopted.generation
        return self._chunk_cache

    def _is_active(self, request_number: int) -> bool:
        return (
            self._active is not None and self._active.request_number == request_number
        )

    def _on_expired(self, request_number: int) -> None:
        if self._job is not None and self._is_active(request_number):
            self._apply(*publisher.on_expired(self._job))
            return
        for item in self._queue:
            if item.request_number == request_number:
                self._queue.remove(item)
                detail = "other publications took too long; nothing was published"
                item.fut.set_result(Refused(Reason.TIMEOUT, detail))
                return

    def _on_reply(self, request_id: int, outcome: PlatformOutcome) -> None:
        match self._calls.pop(request_id, None):
            case _OperationCall(request_number, operation_id):
                if self._job is not None and self._is_active(request_number):
                    step = publisher.on_outcome(self._job, operation_id, outcome)
                    self._apply(*step)
            case _CollectorList():
                self._on_listed(outcome)
            case _CollectorHead(listed):
                self._on_collector_head(listed, outcome)
            case _Removal():
                self.counters["removals"] += 1
            case _:
                self.counters["unexpected_replies"] += 1

    def _apply(self, job: Job, actions: tuple[publisher.Action, ...]) -> None:
        self._job = job
        active = self._active
        if active is None:
            return
        for action in actions:
            match action:
                case Perform(operation_id, operation):
                    self._perform(
                        _OperationCall(active.request_number, operation_id), operation
                    )
                case RetryLater(operation_id, delay_ms):
                    delay_ms += self._random.randint(0, delay_ms)
                    retry = _RetryDue(active.request_number, operation_id)
                    self._context.set_timer(delay_ms, retry)
                    self.counters["repetitions"] += 1
                case DeleteAudit(key, revision):
                    self.counters["lost_attempts"] += 1
                    self._remove(KeyRevision(key, revision))
        self._end(active, actions)

    def _end(
        self, active: _QueuedRequest, actions: tuple[publisher.Action, ...]
    ) -> None:
        for action in actions:
            if isinstance(action, Finish):
                self._update_chunk_cache()
                self._active = self._job = None
                self.counters[type(action.result).__name__.lower()] += 1
                active.fut.set_result(action.result)
                self._after_publication(action.result)
                self._begin_next()

    def _update_chunk_cache(self) -> None:
        job = self._job
        if job is None or job.head is None:
            return
        planned = {} if job.plan is None else job.plan.chunks
        known = {
            **job.chunks,
            **{key.removeprefix(CHUNK_PREFIX): data for key, data in planned.items()},
        }
        head = job.head if job.plan is None else job.plan.head
        self._chunk_cache = {
            item: known[item] for item in head.digests if item in known
        }
        self._cached_generation = head.generation

    def _after_publication(self, result: PublishResult) -> None:
        if not isinstance(result, Published):
            return
        self._min_generation = max(self._min_generation, result.generation)
        if result.generation % COLLECT_EVERY_GENERATIONS == 0:
            self._collect()

    def _collect(self) -> None:
        if self._is_collecting:
            return
        self._is_collecting = True
        request_id = self._register_call(_CollectorList())
        request = ListPrefix(self.name, request_id, CHUNK_PREFIX)
        self._context.send("platform", request)

    def _on_listed(self, outcome: PlatformOutcome) -> None:
        if not isinstance(outcome, Listed):
            self._is_collecting = False
            return
        request_id = self._register_call(_CollectorHead(outcome.keys))
        self._context.send("platform", Get(self.name, request_id, HEAD_KEY))

    def _on_collector_head(
        self, listed: tuple[KeyRevision, ...], outcome: PlatformOutcome
    ) -> None:
        self._is_collecting = False
        if not isinstance(outcome, Found):
            return
        decoded = decode_head(outcome.value)
        if isinstance(decoded, Refused):
            return
        for item in removable_chunks(listed, decoded.value, outcome.revision):
            self._remove(item)

    def _remove(self, item: KeyRevision) -> None:
        request_id = self._register_call(_Removal())
        request = Delete(self.name, request_id, item.key, item.revision)
        self._context.send("platform", request)

    def _perform(self, call: _OperationCall, operation: Operation) -> None:
        request_id = self._register_call(call)
        key = operation.key
        if operation.value is None:
            self._context.send("platform", Get(self.name, request_id, key))
            return
        self.counters["bytes_written"] += len(operation.value)
        request = Put(self.name, request_id, key, operation.value, operation.expected)
        self._context.send("platform", request)

    def _register_call(self, call: object) -> int:
        request_id = self._next_request_id
        self._next_request_id += 1
        self._calls[request_id] = call
        return request_id
