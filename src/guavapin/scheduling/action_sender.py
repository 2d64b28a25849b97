"""Sends the messages for the scheduler's actions, and matches their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.executors.model import HostOrder
from guavapin.keyvalue import messages as kv
from guavapin.ledger.messages import RecordEntry
from guavapin.scheduling.messages import AdviceRequest
from guavapin.scheduling.messages import AnswerCall
from guavapin.scheduling.messages import FetchJob
from guavapin.scheduling.messages import JobReply
from guavapin.scheduling.messages import SendOrder
from guavapin.scheduling.messages import StoreEntry
from guavapin.scheduling.record import JOBS_PREFIX

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext
    from guavapin.scheduling.messages import Action
    from guavapin.scheduling.messages import OrderContext


class ActionSender:
    """Sends actions in the name of `service`, and keeps the requests in flight.

    Request ids are never reused, so answers to an earlier term match nothing.
    """

    def __init__(self, context: TaskContext, service: str) -> None:
        self._context = context
        self._service = service
        self._request_id = 0
        self._orders: dict[int, OrderContext] = {}
        self._fetches: dict[int, str] = {}

    def clear(self) -> None:
        """Remove all unanswered orders and reads, since their term has ended."""
        self._orders.clear()
        self._fetches.clear()

    def pop_order(self, request_id: int) -> OrderContext | None:
        """Return the context of an answered order, None if no answer is awaited."""
        return self._orders.pop(request_id, None)

    def pop_fetch(self, request_id: int) -> str:
        """Return the id of the job that was read, "" if no answer is awaited."""
        return self._fetches.pop(request_id, "")

    def fetch(self, job_id: str) -> None:
        """Send a read of a job to the store."""
        self._request_id += 1
        self._fetches[self._request_id] = job_id
        request = kv.Get(self._service, self._request_id, f"{JOBS_PREFIX}{job_id}")
        self._context.send("platform", request)

    def next_request_id(self) -> int:
        """Return an id for a request that is sent by others in the service's name."""
        self._request_id += 1
        return self._request_id

    def send(self, action: Action) -> None:
        """Send the message for an action; the task handles `StepDown` itself."""
        match action:
            case SendOrder():
                self._send_order(action)
            case StoreEntry(entry=entry, is_urgent=is_urgent):
                self._context.send("ledger", RecordEntry(entry, is_urgent))
            case AnswerCall(request_id=request_id, answer=answer):
                reply = JobReply(request_id, answer, action.may_have_effect)
                self._context.send(action.reply_to, reply)
            case FetchJob(job_id=job_id):
                self.fetch(job_id)
            case AdviceRequest():
                self._context.send("advice", action)

    def _send_order(self, action: SendOrder) -> None:
        self._request_id += 1
        self._orders[self._request_id] = action.context
        order = HostOrder(
            self._service,
            self._request_id,
            action.address,
            action.context.executor_id,
            action.context.order,
            action.timeout_ms,
            action.context.is_on_new_connection,
        )
        self._context.send("executors", order)
