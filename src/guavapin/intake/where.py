"""The service `where`: explains where a request or a job would go now.

It decodes the job as `intake` does, and asks `tables` and `scheduler` of this process.
Nothing is submitted. A process that does not schedule answers by its own view of the
table, with the age of this view, and names the scheduler that it knows.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Protocol
from urllib.parse import parse_qs

import msgspec

from guavapin.jobs.calls import BadCall
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.table_messages import DescribeTable
from guavapin.jobs.table_messages import TableDescribed
from guavapin.kernel.decimal import parse_decimal
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.scheduling.messages import ExplainPlacement
from guavapin.scheduling.messages import PlacementExplained

if TYPE_CHECKING:
    from guavapin.jobs.calls import JobCall
    from guavapin.jobs.model import Job
    from guavapin.jobs.queues import Queue
    from guavapin.jobs.queues import QueueTable
    from guavapin.kernel.task import TaskContext
    from guavapin.scheduling.where import PlacementView

WHERE_PATH = "/v1/where"

# Queries that are answered at a time; each is answered within one pass of the loop.
MAX_PENDING = 16

# Id of a job that is described without one.
NO_JOB_ID = "0" * 16

# Characters of a value that an error repeats.
MAX_SHOWN = 80


@dataclass(frozen=True, slots=True)
class WhereQuery:
    """To ``where``: a query string with `host`, `path`, `size` and `organisation`, or
    `job` for the id of a submitted job. `body` is a job as callers send it, or empty.
    """

    reply_to: str
    request_id: int
    query_text: str
    body: bytes


@dataclass(frozen=True, slots=True)
class WhereAnswer:
    """From ``where``: the status and the JSON body of an answer."""

    request_id: int
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class RouteView:
    """The queue of a request, and why its head or size would be rejected, if so."""

    queue: str
    pool: str
    priority: int
    is_public: bool
    rejection: str


@dataclass(frozen=True, slots=True)
class WhereView:
    """Answer about a request or a job.

    `placement` is None without a job, or if this process does not schedule; then
    `scheduler` is the address of the last known scheduler, "" if none is known.
    `view_age_ms` is the age of the proof that the table is the newest one, -1 without.
    """

    route: RouteView | None
    placement: PlacementView | None
    is_scheduling: bool
    scheduler: str
    table_version: int
    view_age_ms: int


class WhereCodec(Protocol):
    """Decodes calls of callers; never raises."""

    def decode(
        self,
        queue: Queue,
        method: str,
        path: str,
        body: bytes,
        wall_ms: int,
        organisation: str,
    ) -> JobCall | BadCall:
        """Return the call to a queue in a request."""
        ...

    def find_job_fault(self, body: bytes) -> str:
        """Return which field of a submission cannot be read and why, "" if all can."""
        ...


@dataclass(frozen=True, slots=True)
class _Fault:
    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class _Pending:
    query: WhereQuery
    route: RouteView | None = None
    version: int = -1
    age_ms: int = -1


class WhereTask:
    """Service ``where``; changes nothing in other services."""

    name = "where"

    def __init__(self, codec: WhereCodec) -> None:
        self._codec = codec
        self._pending: dict[int, _Pending] = {}
        self._request_id = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for queries."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Drop the pending queries."""
        self._pending.clear()

    def handle(self, message: object) -> None:
        """Handle a query, or the answer of another service to one."""
        match message:
            case WhereQuery():
                self._begin(message)
            case TableDescribed(request_id=request_id):
                self._handle_table(request_id, message)
            case PlacementExplained(request_id=request_id):
                self._handle_placement(request_id, message)
            case _:
                raise InvariantError(f"where: unexpected message {message!r}")

    def _begin(self, query: WhereQuery) -> None:
        if len(self._pending) >= MAX_PENDING:
            self._fail(query, _Fault(503, "too many queries at a time"))
            return
        self._request_id += 1
        self._pending[self._request_id] = _Pending(query)
        # Version -1 is older than any table, so that the answer holds the table.
        self._context.send("tables", DescribeTable(self.name, self._request_id, -1))

    def _handle_table(self, request_id: int, described: TableDescribed) -> None:
        pending = self._pending.get(request_id)
        if pending is None:
            return
        fields = parse_qs(pending.query.query_text)
        values = {name: texts[0] for name, texts in fields.items()}
        pending = replace(pending, version=described.version, age_ms=described.age_ms)
        explain = ExplainPlacement(self.name, request_id, values.get("job", ""))
        if described.table is None:
            self._end(request_id, _Fault(503, "no table is in force at this host yet"))
            return
        if not explain.job_id:
            found = _find_route(described.table, values)
            if isinstance(found, _Fault):
                self._end(request_id, found)
                return
            queue, pending = (
                found,
                replace(pending, route=_route(found, values, described.table)),
            )
            job = self._decode_job(queue, values, pending.query.body)
            if isinstance(job, _Fault):
                self._end(request_id, job)
                return
            explain = replace(explain, job=job)
        self._pending[request_id] = pending
        self._context.send("scheduler", explain)

    def _decode_job(
        self, queue: Queue, values: dict[str, str], body: bytes
    ) -> Job | _Fault | None:
        if not body:
            return None
        path = values["path"].partition("?")[0]
        if path == queue.prefix:
            path += NO_JOB_ID
        wall_ms = self._context.clock.wall_ms()
        organisation = values.get("organisation", "")
        call = self._codec.decode(queue, "POST", path, body, wall_ms, organisation)
        if isinstance(call, BadCall):
            return _Fault(400, self._codec.find_job_fault(body) or call.detail)
        return call.job if isinstance(call, SubmitJob) else None

    def _handle_placement(self, request_id: int, explained: PlacementExplained) -> None:
        pending = self._pending.get(request_id)
        if pending is None:
            return
        is_for_id = pending.route is None
        if is_for_id and explained.is_scheduling and explained.view is None:
            self._end(request_id, _Fault(404, "job: the scheduler holds no such job"))
            return
        view = WhereView(
            pending.route,
            explained.view,
            explained.is_scheduling,
            "" if explained.is_scheduling else explained.scheduler.address,
            pending.version,
            pending.age_ms,
        )
        del self._pending[request_id]
        body = msgspec.json.encode(view)
        answer = WhereAnswer(pending.query.request_id, 200, body)
        self._context.send(pending.query.reply_to, answer)

    def _end(self, request_id: int, fault: _Fault) -> None:
        self._fail(self._pending.pop(request_id).query, fault)

    def _fail(self, query: WhereQuery, fault: _Fault) -> None:
        reason = {400: "bad_input", 404: "missing"}.get(fault.status, "unavailable")
        body = msgspec.json.encode({"reason": reason, "detail": fault.detail})
        answer = WhereAnswer(query.request_id, fault.status, body)
        self._context.send(query.reply_to, answer)


def _find_route(table: QueueTable, values: dict[str, str]) -> Queue | _Fault:
    """Return the queue of a request as `intake` finds it, or the fault of a value."""
    for name in ("host", "path"):
        if not values.get(name):
            return _Fault(400, f"{name}: '' given, expected that of a request")
    size = values.get("size", "0")
    if parse_decimal(size) is None:
        detail = f"size: {size[:MAX_SHOWN]!r} given, expected a number of bytes"
        return _Fault(400, detail)
    organisation = values.get("organisation", "")
    if organisation and table.organisation(organisation) is None:
        shown = organisation[:MAX_SHOWN]
        names = ", ".join(row.name for row in table.organisations[:10]) or "none"
        detail = f"organisation: {shown!r} given, expected one of: {names}"
        return _Fault(400, detail)
    host = values["host"].partition(":")[0]
    path = values["path"].partition("?")[0]
    queue = table.find(host, path)
    if queue is None:
        keys = ", ".join(queue.key for queue in table.queues[:10]) or "none"
        detail = f"host and path: {(host + path)[:MAX_SHOWN]!r} given, "
        return _Fault(404, f"{detail}expected the begin of a queue: {keys}")
    return queue


def _route(queue: Queue, values: dict[str, str], table: QueueTable) -> RouteView:
    size = parse_decimal(values.get("size", "0")) or 0
    limit = table.limits.max_body_bytes
    rejection = ""
    if 0 < limit < size:
        rejection = f"413: the body of {size} bytes is above the limit of {limit}"
    elif table.organisations and not queue.is_public:
        given = values.get("organisation", "")
        rejection = "" if given else "401 without a key: the queue is not public"
    return RouteView(
        queue.key, queue.service, queue.priority, queue.is_public, rejection
    )
