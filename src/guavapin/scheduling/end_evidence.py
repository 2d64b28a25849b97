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
    """Signs that an executor has ended.

    Its answer to an order that was sent from `since_ms` on refutes them.
    `list_requested_ms` is the time at which the last list without the executor was
    requested, 0 without one.
    """

    signs: frozenset[Sign]
    since_ms: int
    list_requested_ms: int = 0

    def is_refuted_by(self, sent_ms: int) -> bool:
        """Return whether an answer to an order that was sent then refutes the signs."""
        return sent_ms >= self.since_ms

    def without_list(self) -> Doubt | None:
        """Return the doubt after a list that names the executor."""
        left = self.signs - UNLISTED_SIGNS
        return Doubt(left, self.since_ms) if left else None


def add_sign(
    doubt: Doubt | None, sign: Sign, now_ms: int, list_requested_ms: int = 0
) -> Doubt:
    """Return the doubt after a sign; `doubt` is None if there was none before.

    What a list says replaces what the list before said.
    """
    if doubt is None:
        return Doubt(frozenset({sign}), now_ms, list_requested_ms)
    if sign not in UNLISTED_SIGNS:
        return Doubt(doubt.signs | {sign}, now_ms, doubt.list_requested_ms)
    signs = doubt.signs - UNLISTED_SIGNS | {sign}
    # A list that repeats the sign is no reason to ask again.
    since_ms = doubt.since_ms if doubt.signs & UNLISTED_SIGNS else now_ms
    return Doubt(signs, since_ms, list_requested_ms)


def confirmed_sign(
    doubt: Doubt | None, outcome: OrderOutcome, answered_sent_ms: int
) -> Sign | None:
    """Return the sign that an order over a new connection confirms, None without one.

    Another life that listens at the address is confirmed by its refusal. If nobody
    listens there, a list of machines must say so too, since some partitions refuse
    connections. It must have been requested after the last of the orders was sent that
    the executor answered.
    """
    if isinstance(outcome, Refusal) and outcome.kind is RefusalKind.OTHER_LIFE:
        return Sign.OTHER_LIFE
    is_refused = isinstance(outcome, NoAnswer) and outcome.is_refused
    if not is_refused or doubt is None or doubt.list_requested_ms <= answered_sent_ms:
        return None
    return next((sign for sign in Sign if sign in doubt.signs & UNLISTED_SIGNS), None)


def is_list_conclusive(doubt: Doubt, last_sign_of_life_ms: int) -> bool:
    """Return whether the last list without an executor confirms that it has ended.

    It was not made before the executor last showed that it was up.
    """
    age_ms = doubt.list_requested_ms - last_sign_of_life_ms
    return age_ms >= MAX_LIST_AGE_MS and Sign.NOT_LISTED in doubt.signs


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
