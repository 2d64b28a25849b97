"""Checks that queries are answered once nothing fails any more; pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin_soak.cancel_checks import CALM_BEFORE_MS
from guavapin_soak.checks import EventKind

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from guavapin_soak.checks import CallerEvent

# Attempts of one query in a calm time, the first one and four retries.
MAX_ATTEMPTS = 5

# Results of queries that show the state of the job.
_ANSWERS = (
    EventKind.UNKNOWN,
    EventKind.QUEUED,
    EventKind.RUNNING,
    EventKind.SUCCEEDED,
    EventKind.FAILED,
    EventKind.CANCELLED,
)


def query_violations(
    caller_events: Iterable[CallerEvent], calm_ms: int
) -> Iterator[str]:
    """Yield a sentence for each job whose queries are not answered in the calm.

    No fault but odd entries of the registry is on from `calm_ms`.
    """
    judged_ms = calm_ms + CALM_BEFORE_MS
    unanswered: dict[str, int] = {}
    for row in sorted(caller_events, key=lambda row: row.at_ms):
        if row.kind in _ANSWERS:
            unanswered[row.job_id] = 0
        elif row.kind is EventKind.QUERY_UNANSWERED and row.sent_ms >= judged_ms:
            unanswered[row.job_id] = unanswered.get(row.job_id, 0) + 1
            if unanswered[row.job_id] == MAX_ATTEMPTS:
                yield (
                    f"{row.job_id}: {MAX_ATTEMPTS} queries in a row without an answer "
                    f"until {row.at_ms} ms, although nothing failed"
                )
