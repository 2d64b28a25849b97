"""The service `peer_desk`: passes calls of other entry hosts to the scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from guavapin.intake.peer_codec import PEER_PATH
from guavapin.intake.peer_codec import SCHEDULER_PATH
from guavapin.intake.peer_codec import decode_peer_call
from guavapin.intake.peer_codec import decode_scheduler
from guavapin.intake.peer_codec import encode_peer_answer
from guavapin.intake.peer_codec import encode_scheduler
from guavapin.intake.where import WHERE_PATH
from guavapin.intake.where import WhereAnswer
from guavapin.intake.where import WhereQuery
from guavapin.jobs.table_messages import DescribeTable
from guavapin.jobs.table_messages import TableDescribed
from guavapin.jobs.table_relay import CHANGES_PATH
from guavapin.jobs.table_relay import TABLE_PATH
from guavapin.jobs.table_relay import encode_described
from guavapin.jobs.table_relay import queried_version
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.scheduling.messages import DescribeScheduling
from guavapin.scheduling.messages import JobReply
from guavapin.scheduling.messages import JobRequest
from guavapin.scheduling.messages import PeerScheduler
from guavapin.scheduling.messages import SchedulingDescribed
from guavapin.serving.request_handler import RequestHandler

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext
    from guavapin.serving.request_handler import WholeRequest

# Paths of the operators' queries, which only the process that schedules can answer.
SCHEDULING_PATH = "/v1/scheduling"
JOB_PATH = "/v1/scheduling/jobs/"

# Status: this process does not schedule. The body names the known scheduler.
NOT_SCHEDULING = 421

# Status: the scheduler here does not know the job, but the store may hold it.
NOT_FOUND = 404

# Status: the term ended before it was known whether the call took effect.
UNDECIDED = 502

JSON = ((b"content-type", b"application/json"),)


class PeerCallsTask(RequestHandler):
    """Service ``peer_desk``; answers the requests at the listener for peers."""

    name = "peer_desk"

    def __init__(self) -> None:
        super().__init__("peer_front")

    def start(self, context: TaskContext) -> Outcome[None]:
        """Wait for requests."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Do nothing; this service holds no resources."""

    def handle(self, message: object) -> None:
        """Handle a chunk of a request, or the scheduler's answer to a request."""
        if isinstance(message, JobReply):
            self._answer_call(message)
        elif isinstance(message, SchedulingDescribed):
            self._answer_query(message)
        elif isinstance(message, TableDescribed):
            body = encode_described(message)
            self.answer(message.request_id, 200, JSON, body)
        elif isinstance(message, WhereAnswer):
            self.answer(message.request_id, message.status, JSON, message.body)
        elif not self.handle_front_message(message):
            raise InvariantError(f"peer_desk: unexpected message {message!r}")

    def handle_request(self, req: WholeRequest) -> None:
        """Pass a call or an operator's query to the scheduler.

        An announcement of a scheduler is passed to ``intake`` too. A body that cannot
        be read gets status 400.
        """
        path, _, query_text = req.target.partition("?")
        if req.method == "GET" and path in (TABLE_PATH, CHANGES_PATH):
            version = queried_version(query_text)
            wants_changes = path == CHANGES_PATH
            describe = DescribeTable(self.name, req.request_id, version, wants_changes)
            self._context.send("tables", describe)
            return
        if req.method == "GET" and path == SCHEDULING_PATH:
            query = DescribeScheduling(self.name, req.request_id)
            self._context.send("scheduler", query)
            return
        if req.method == "GET" and path.startswith(JOB_PATH):
            job_id = path.removeprefix(JOB_PATH)
            query = DescribeScheduling(self.name, req.request_id, job_id)
            self._context.send("scheduler", query)
            return
        if req.method == "GET" and path == WHERE_PATH:
            where = WhereQuery(self.name, req.request_id, query_text, req.body)
            self._context.send("where", where)
            return
        if req.target == SCHEDULER_PATH:
            self._handle_announcement(req)
            return
        call = decode_peer_call(req.body) if req.target == PEER_PATH else None
        if call is None:
            self.answer(req.request_id, 400)
        else:
            request = JobRequest(self.name, req.request_id, call)
            self._context.send("scheduler", request)

    def _answer_call(self, reply: JobReply) -> None:
        if reply.answer is not None:
            body = encode_peer_answer(reply.answer)
            self.answer(reply.request_id, 200, (), body)
        elif reply.may_have_effect:
            self.answer(reply.request_id, UNDECIDED)
        elif reply.known_scheduler is not None:
            body = encode_scheduler(reply.known_scheduler)
            self.answer(reply.request_id, NOT_SCHEDULING, JSON, body)
        else:
            self.answer(reply.request_id, NOT_FOUND)

    def _handle_announcement(self, req: WholeRequest) -> None:
        scheduler = decode_scheduler(req.body)
        if scheduler is None:
            self.answer(req.request_id, 400)
            return
        for service in ("intake", "scheduler"):
            self._context.send(service, PeerScheduler(scheduler))
        self.answer(req.request_id, 204)

    def _answer_query(self, described: SchedulingDescribed) -> None:
        if described.view is not None:
            status, body = 200, msgspec.json.encode(described.view)
        elif described.scheduler:
            detail = f"this host does not schedule, ask {described.scheduler}"
            status, body = NOT_SCHEDULING, _error("not_scheduling", detail)
        else:
            detail = "no such job here, or nobody schedules at the moment"
            status, body = 404, _error("missing", detail)
        self.answer(described.request_id, status, JSON, body)


def _error(reason: str, detail: str) -> bytes:
    return msgspec.json.encode({"reason": reason, "detail": detail})
