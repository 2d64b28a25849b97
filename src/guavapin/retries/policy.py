"""Which attempts may be repeated without a second run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.serving.messages import AttemptResult

if TYPE_CHECKING:
    from guavapin.objects.model import Service

# RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
# A worker that fails everything answers 500; its callers see nothing of it when
# idempotent requests are tried elsewhere. Where every upstream answers 500, the retry
# budget bounds the extra load.
REPEATABLE_STATUSES = frozenset({500, 502, 503, 504})
MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """What the policy must know of an attempt; `status` is 0 without a head.

    `is_refused_not_run` is set only when a trusted peer entry host said so.
    """

    result: AttemptResult
    status: int = 0
    is_refused_not_run: bool = False


def is_idempotent(method: str, service: Service) -> bool:
    """Tell whether a request may run twice, by its method or its service."""
    return service.idempotent or method in IDEMPOTENT_METHODS


def has_not_run(attempt: EndedAttempt) -> bool:
    """Tell whether the request is known not to have run.

    An upstream's 503 is no such promise: it may have run a part of the work.
    """
    return attempt.result is AttemptResult.NOT_SENT or attempt.is_refused_not_run


def may_repeat(
    attempt: EndedAttempt,
    is_idempotent_request: bool,
    attempts: int,
    answer_started: bool,
) -> bool:
    """Tell whether a further attempt is safe; budget and deadline come on top.

    `attempts` counts those made. Nothing is repeated once bytes of an answer have
    been sent to the caller, since the two answers could differ.
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
