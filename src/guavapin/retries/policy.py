"""Policy of retries: which requests may be sent again without running twice."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.serving.messages import AttemptResult

if TYPE_CHECKING:
    from guavapin.objects.model import Service

# RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
# 500 is included because a worker that fails every request answers with it; a retry on
# another upstream hides that from the callers of idempotent requests. If every upstream
# answers 500, the retry budget bounds the extra load.
REPEATABLE_STATUSES = frozenset({500, 502, 503, 504})
MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """Result of an attempt; `status` is 0 when no response head arrived.

    `is_refused_not_run` is set only if a trusted peer entry host refused the request
    as not run. `was_forwarded` is set if the attempt went to such a host instead of an
    upstream.
    """

    result: AttemptResult
    status: int = 0
    is_refused_not_run: bool = False
    was_forwarded: bool = False


def is_idempotent(method: str, service: Service) -> bool:
    """Return whether a request may run twice, by its method or its service."""
    return service.idempotent or method in IDEMPOTENT_METHODS


def has_not_run(attempt: EndedAttempt) -> bool:
    """Return whether the request is known not to have run.

    A 503 of an upstream does not prove that: a part of the work may have run.
    """
    return attempt.result is AttemptResult.NOT_SENT or attempt.is_refused_not_run


def spends_budget(attempt: EndedAttempt) -> bool:
    """Return whether another attempt adds to the load that the retry budget bounds.

    A request that was forwarded and has not run has cost no upstream anything.
    """
    return not (attempt.was_forwarded and has_not_run(attempt))


def may_repeat(
    attempt: EndedAttempt,
    is_idempotent_request: bool,
    attempts: int,
    answer_started: bool,
) -> bool:
    """Return whether another attempt is safe.

    The retry budget and the deadline are not checked here. `attempts` counts the
    attempts made so far. Once bytes of an answer have been sent to the caller, the
    request is not repeated, because the two answers could differ.
    """
    if answer_started or attempts >= MAX_ATTEMPTS:
        return False
    if has_not_run(attempt):
        return True
    if not is_idempotent_request:
        return False
    if attempt.result is AttemptResult.COMPLETE:
        return attempt.status in REPEATABLE_STATUSES
    return True
