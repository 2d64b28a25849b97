"""Calls and answers of the operators' interface, independent of HTTP."""

from __future__ import annotations

from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from collections.abc import Mapping
    from concurrent.futures import Future

    from guavapin.kernel.outcome import Outcome

CALL_TIMEOUT_MS = 10_000
MAX_WAIT_MS = 60_000


@dataclass(frozen=True, slots=True)
class OperatorCall:
    """One call: its operator, the names in its path, its query and its body."""

    operator: str
    names: Mapping[str, str] = field(default_factory=dict)
    query: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ApiAnswer:
    """HTTP status and a body that msgspec can encode as JSON."""

    status: int
    body: object


@dataclass(frozen=True, slots=True)
class ApiError:
    """Body of a refusal: the reason word, what was expected, and all faults found."""

    reason: str
    detail: str
    faults: tuple[str, ...] = ()


class Handler(Protocol):
    """Handles the calls of one path."""

    def __call__(self, call: OperatorCall) -> ApiAnswer:
        """Return the answer; runs on an executor thread and may wait."""
        ...


class ServiceClient(Protocol):
    """Sends calls to services by name; implemented by `guavapin.kernel.Kernel`."""

    def ask(self, service: str, message: object) -> Future[Any]:
        """Send `message` to `service` and return the future of its reply."""
        ...


STATUS_BY_REASON = {
    Reason.BAD_INPUT: 400,
    Reason.FORBIDDEN: 401,
    Reason.MISSING: 404,
    Reason.CONFLICT: 409,
    Reason.BUDGET: 409,
    Reason.FENCED: 409,
    Reason.DUPLICATE: 409,
    Reason.TOO_LARGE: 413,
    Reason.QUOTA: 429,
    Reason.RATE_LIMITED: 429,
    Reason.TIMEOUT: 504,
    Reason.DEADLINE: 504,
    Reason.OUTCOME_UNKNOWN: 504,
}
DEFAULT_REFUSAL_STATUS = 503


def answer_refused(refused: Refused) -> ApiAnswer:
    """Return the answer for a refusal."""
    status = STATUS_BY_REASON.get(refused.reason, DEFAULT_REFUSAL_STATUS)
    return ApiAnswer(status, ApiError(refused.reason.value, refused.detail))


def answer_outcome(outcome: Outcome[Any], done: object) -> ApiAnswer:
    """Return 200 with `done`, or the answer for the refusal."""
    if isinstance(outcome, Refused):
        return answer_refused(outcome)
    return ApiAnswer(200, done)


def await_reply(fut: Future[Any], timeout_ms: int = CALL_TIMEOUT_MS) -> Any:
    """Return the reply of a service, or `Refused(TIMEOUT)`."""
    try:
        return fut.result(timeout_ms / 1_000)
    except FutureTimeoutError:
        return Refused(Reason.TIMEOUT, f"no reply within {timeout_ms} ms")
