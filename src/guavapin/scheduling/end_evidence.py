"""Evidence that an executor has ended.

A sign comes from others: a process at the executor's address refuses an order that was
meant for it, or a list of machines does not show its machine as up. Either may be about
an earlier life: a pooled connection may still lead to the process before, and a list
may be out of date. So a sign only stops further starts. The executor is asked over a
new connection, which leads to whoever listens at its address now; its answer refutes
the sign, and the refusal of that order confirms it. So does a list of machines that was
requested long after the executor last showed that it was up. Without any of these, the
runs on the executor have ended only with its lease.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from guavapin.executors.model import HostReport
from guavapin.executors.model import NoAnswer
from guavapin.executors.model import Refusal
from guavapin.executors.model import RefusalKind

if TYPE_CHECKING:
    from guavapin.executors.model import OrderOutcome


# Age that the platform's state may have in a list of machines. The platform promises no
# bound; the planner allows its list a second to show an order.
MAX_LIST_AGE_MS = 2_000


class Sign(Enum):
    """What suggests that an executor has ended."""

    OTHER_LIFE = "another executor answers at its address"
    # The list shows its machine as down, moving, or with another executor.
    NOT_LISTED = "its machine was taken down"
    # The list leaves its machine out.
    MISSING = "its machine is not listed"


UNLISTED_SIGNS = frozenset({Sign.NOT_LISTED, Sign.MISSING})


@dataclass(frozen=True, slots=True)
class Doubt:
    """Signs that an executor has ended, the first of which came at `since_ms`."""

    signs: frozenset[Sign]
    since_ms: int

    def is_refuted_by(self, sent_ms: int) -> bool:
        """Return whether an answer to an order that was sent then refutes the signs."""
        return sent_ms >= self.since_ms

    def without(self, signs: frozenset[Sign]) -> Doubt | None:
        """Return the doubt without some signs, None if no other sign is left."""
        left = self.signs - signs
        return Doubt(left, self.since_ms) if left else None


def add_sign(doubt: Doubt | None, sign: Sign, now_ms: int) -> Doubt:
    """Return the doubt after a sign; `doubt` is None if there was none before."""
    if doubt is None:
        return Doubt(frozenset({sign}), now_ms)
    return Doubt(doubt.signs | {sign}, doubt.since_ms)


def confirmed_sign(doubt: Doubt | None, outcome: OrderOutcome) -> Sign | None:
    """Return the sign that an order over a new connection confirms, None without one.

    Another life that listens at the address is confirmed by its refusal. If nobody
    listens there, the list of machines must say so too: some partitions refuse
    connections.
    """
    if isinstance(outcome, Refusal) and outcome.kind is RefusalKind.OTHER_LIFE:
        return Sign.OTHER_LIFE
    is_refused = isinstance(outcome, NoAnswer) and outcome.is_refused
    if not is_refused or doubt is None:
        return None
    return next((sign for sign in Sign if sign in doubt.signs & UNLISTED_SIGNS), None)


def is_list_conclusive(
    doubt: Doubt, requested_ms: int, last_sign_of_life_ms: int
) -> bool:
    """Return whether a list that was requested then confirms that it shows an end.

    It was not made before the executor last showed that it was up.
    """
    is_newer = requested_ms - last_sign_of_life_ms >= MAX_LIST_AGE_MS
    return is_newer and Sign.NOT_LISTED in doubt.signs


def is_former_report(
    outcome: OrderOutcome, born_ms: int, is_on_new_connection: bool
) -> bool:
    """Return whether an executor that was born at `born_ms` has not sent a report.

    A life that began earlier may still answer over a connection that was open. Over a
    new one, it is a later life that began after its time of day was set back.
    """
    if not isinstance(outcome, HostReport) or is_on_new_connection:
        return False
    return 0 < outcome.born_ms < born_ms
