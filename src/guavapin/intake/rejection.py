"""Decides whether a call is rejected while this entry host is cut off.

Answers the load pattern of an availability zone that is partitioned from the others:
its callers still reach its entry hosts, and every call that waits there for its
deadline is lost, although the next attempt may reach a host of another zone.
"""

from __future__ import annotations

from guavapin.jobs.calls import Rejected

# Time in ms after which a rejected caller returns. The platform stops sending callers
# to a host two seconds after it is no longer ready, and a caller waits three in all.
RETURN_DELAY_MS = 1_000

REJECTION = Rejected(
    "neither a scheduler nor the store can be reached", RETURN_DELAY_MS
)


def can_return(left_ms: int) -> bool:
    """Return whether a caller with `left_ms` until its deadline can try again."""
    return left_ms > RETURN_DELAY_MS
