"""What does not change about a request while it is in progress."""

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

    `key` is the idempotency key of a request that has to be claimed, else empty. It
    is kept apart from `Exchange`, since each step of a request copies that record.
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
        """Whether running the request twice has the same effect as once."""
        return is_idempotent(self.method, self.service)
