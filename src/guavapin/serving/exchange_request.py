"""The part of a request that does not change while it is in progress."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.retries.policy import is_idempotent

if TYPE_CHECKING:
    from guavapin.objects.model import Service
    from guavapin.routing.run_time import Expectation
    from guavapin.serving.messages import Headers


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as it arrived; times are monotonic milliseconds.

    `key` is the idempotency key of a request that has to be claimed, else empty. The
    request is a record of its own because each transition copies the `Exchange`.
    """

    request_id: int
    service: Service
    method: str
    target: str
    headers: Headers
    received_ms: int
    deadline_ms: int
    expectation: Expectation
    kind: str = ""
    key: str = ""
    team: str = ""
    is_urgent: bool = False
    hops: int = 0

    @property
    def is_idempotent(self) -> bool:
        """Whether running the request twice has the same effect as running it once."""
        return is_idempotent(self.method, self.service)
