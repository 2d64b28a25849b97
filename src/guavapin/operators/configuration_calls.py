"""Operators' calls on the configuration: objects, publication, rollback."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.objects.codec import decode_text
from guavapin.objects.codec import encode_text
from guavapin.operators.api import CALL_TIMEOUT_MS
from guavapin.operators.api import MAX_WAIT_MS
from guavapin.operators.api import ApiAnswer
from guavapin.operators.api import ApiError
from guavapin.operators.api import answer_refused
from guavapin.operators.api import await_reply
from guavapin.publication.in_force import AwaitInForce
from guavapin.publication.messages import Conflict
from guavapin.publication.messages import GetConfiguration
from guavapin.publication.messages import Published
from guavapin.publication.messages import PublishSet
from guavapin.publication.messages import Rejected
from guavapin.publication.messages import Rollback

if TYPE_CHECKING:
    from guavapin.operators.api import OperatorCall
    from guavapin.operators.api import ServiceClient
    from guavapin.publication.messages import PublishResult

PUBLISH_TIMEOUT_MS = 20_000


@dataclass(frozen=True, slots=True)
class PublishBody:
    """Body of a publication: the whole set as TOML, made from `base_generation`.

    A repeated call with the same `publication_id` takes effect once. The call waits up
    to `wait_ms` until the new generation is in force at every live entry process.
    """

    base_generation: int
    objects: str
    reason: str = ""
    publication_id: str = ""
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class RollbackBody:
    """Body of a rollback to the content of `generation`."""

    base_generation: int
    generation: int
    reason: str = ""
    publication_id: str = ""
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class ObjectsAnswer:
    """The set in force as TOML."""

    generation: int
    objects: str


@dataclass(frozen=True, slots=True)
class PublishedAnswer:
    """The new generation, and the entry processes where it is not yet in force."""

    generation: int
    lagging: tuple[str, ...] = ()
    waited_ms: int = 0


class ConfigurationCalls:
    """Handlers of ``/objects``, ``/publish`` and ``/rollback``."""

    def __init__(self, services: ServiceClient) -> None:
        self._services = services

    def read_objects(self, call: OperatorCall) -> ApiAnswer:
        """Return the objects in force."""
        reply = await_reply(self._services.ask("configuration", GetConfiguration()))
        if isinstance(reply, Refused):
            return answer_refused(reply)
        adopted = reply.value
        text = encode_text(adopted.objects)
        return ApiAnswer(200, ObjectsAnswer(adopted.generation, text))

    def publish(self, call: OperatorCall) -> ApiAnswer:
        """Publish a whole set of objects."""
        try:
            body = msgspec.json.decode(call.body, type=PublishBody)
        except (msgspec.DecodeError, RecursionError) as exc:
            return answer_refused(Refused(Reason.BAD_INPUT, f"body: {exc}"))
        objects = decode_text(body.objects)
        if isinstance(objects, tuple):
            return _answer_faults(tuple(str(fault) for fault in objects))
        message = PublishSet(
            body.base_generation,
            objects,
            call.operator,
            body.reason,
            body.publication_id,
        )
        return self._publish(message, body.wait_ms)

    def roll_back(self, call: OperatorCall) -> ApiAnswer:
        """Publish the content of an older generation as a new one."""
        try:
            body = msgspec.json.decode(call.body, type=RollbackBody)
        except (msgspec.DecodeError, RecursionError) as exc:
            return answer_refused(Refused(Reason.BAD_INPUT, f"body: {exc}"))
        message = Rollback(
            body.base_generation,
            body.generation,
            call.operator,
            body.reason,
            body.publication_id,
        )
        return self._publish(message, body.wait_ms)

    def _publish(self, message: PublishSet | Rollback, wait_ms: int) -> ApiAnswer:
        fut = self._services.ask("publisher", message)
        result: PublishResult = await_reply(fut, PUBLISH_TIMEOUT_MS)
        match result:
            case Published(generation):
                return self._await_in_force(generation, wait_ms)
            case Rejected(faults):
                return _answer_faults(tuple(str(fault) for fault in faults))
            case Conflict():
                return _answer_conflict(result)
            case Refused():
                return answer_refused(result)

    def _await_in_force(self, generation: int, wait_ms: int) -> ApiAnswer:
        wait_ms = min(wait_ms, MAX_WAIT_MS)
        fut = self._services.ask("in_force", AwaitInForce(generation, wait_ms))
        reply = await_reply(fut, wait_ms + CALL_TIMEOUT_MS)
        if isinstance(reply, Refused):
            return answer_refused(reply)
        code = 504 if reply.lagging and wait_ms else 200
        answer = PublishedAnswer(generation, reply.lagging, reply.waited_ms)
        return ApiAnswer(code, answer)


def _answer_faults(faults: tuple[str, ...]) -> ApiAnswer:
    detail = f"{len(faults)} faults; nothing was published"
    return ApiAnswer(422, ApiError("rejected", detail, faults))


def _answer_conflict(conflict: Conflict) -> ApiAnswer:
    sides = tuple(
        f"{item.kind} {item.name!r}: {conflict.author} has {item.theirs}; "
        f"you have {item.yours}; both started from {item.base}"
        for item in conflict.conflicts
    )
    detail = f"objects were changed since; generation {conflict.generation} is in force"
    return ApiAnswer(409, ApiError("conflict", detail, sides))
