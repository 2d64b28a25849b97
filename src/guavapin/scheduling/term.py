"""One term of scheduling: its token, its time, and the actions that are to be done."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.jobs.queues import QueueTable
    from guavapin.scheduling.messages import Action
    from guavapin.settings.resident import Times

# Numbers of attempts begin at this multiple of the token, so that a successor's are
# higher than all that were given before without knowing them.
ATTEMPTS_PER_TERM = 1_000

# Lease of what runs on a host. It has to outlast a takeover of about three seconds,
# and is the time after which the work of a silent host may start elsewhere.
LEASE_MS = 6_000

# How long a scheduler that lost the store goes on with the executors while nobody has
# taken over. Outages of the store last seconds; work that lapses is lost.
MAX_UNCONFIRMED_MS = 6_000


class Term:
    """Token, time and table of a scheduler, shared by its parts.

    `now_ms` is monotonic and `wall_ms` counts from the Unix epoch; both are set before
    each event. `actions` gathers what the event leads to.
    """

    def __init__(
        self, token: int, times: Times, table: QueueTable, now_ms: int
    ) -> None:
        self.token = token
        self.times = times
        self.table = table
        self.now_ms = now_ms
        self.wall_ms = 0
        self.lease_ms = min(LEASE_MS, times.max_lease_ms)
        # Until then a host that has not answered may run what an earlier scheduler
        # started, since that one may have extended leases without the store.
        self.resolve_by_ms = now_ms + MAX_UNCONFIRMED_MS + round(self.lease_ms * 1.05)
        # Set while the store is not reached, so that another term may have begun.
        self.is_unconfirmed = False
        self.actions: list[Action] = []

    def drain_actions(self) -> list[Action]:
        """Return the gathered actions and clear them."""
        actions, self.actions = self.actions, []
        return actions

    def next_attempt(self, last: int) -> int:
        """Return the number of the next attempt of a subtask."""
        return max(last, self.token * ATTEMPTS_PER_TERM) + 1
