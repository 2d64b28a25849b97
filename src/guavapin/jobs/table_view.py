"""Decides how long an entry host may rely on its view of the table.

Answers the failure of a host that does not learn of a removed key: because the store is
away, slow or turns the host away, because it is cut off, or because its process was
suspended.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace

# Shares of the time within which a removed key must be refused. A view is used up to
# the first share, which allows for the drift of clocks. Beyond the second share, which
# no calm host reaches, the host asks the scheduler to prove its view.
MAX_AGE_SHARE = 0.95
RELAY_AGE_SHARE = 0.65

# Longest wait of the watch as a share of that time. A watch proves the view as of its
# start, so that the view's age is at most twice the wait while the store answers.
WATCH_WAIT_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class TableView:
    """Newest table version of a host, and a time at which no newer one was stored.

    `as_of_ms` is monotonic time that includes the suspension of the process, and is the
    time at which a call was sent whose answer proved the view; -1 before the first.
    `revoke_ms` is the time within which a removed key must be refused, 0 without limit.
    """

    revoke_ms: int
    version: int = -1
    as_of_ms: int = -1

    def adopt(self, version: int) -> TableView:
        """Return the view with a newer table, which proves nothing about others."""
        return replace(self, version=version) if version > self.version else self

    def confirm(self, version: int, as_of_ms: int) -> TableView:
        """Return the view after a proof that `version` was the newest at `as_of_ms`."""
        if version < self.version or as_of_ms <= self.as_of_ms:
            return self
        return replace(self, as_of_ms=as_of_ms)

    def age_ms(self, now_ms: int) -> int:
        """Return the time since the view was proven, in ms."""
        return now_ms - self.as_of_ms

    def is_expired(self, now_ms: int) -> bool:
        """Return whether a key that the view holds may have been removed too long ago.

        For example, with `revoke_ms` of 5,000 a view lasts for 4,750 ms.
        """
        if not self.revoke_ms:
            return False
        return self.as_of_ms < 0 or self._is_older(MAX_AGE_SHARE, now_ms)

    def needs_relay(self, now_ms: int) -> bool:
        """Return whether another host should be asked to prove the view."""
        if not self.revoke_ms:
            return False
        return self.as_of_ms < 0 or self._is_older(RELAY_AGE_SHARE, now_ms)

    def _is_older(self, share: float, now_ms: int) -> bool:
        return self.age_ms(now_ms) >= self.revoke_ms * share


def watch_wait_ms(revoke_ms: int, longest_ms: int) -> int:
    """Return how long a watch of the table may wait, at most `longest_ms`."""
    if not revoke_ms:
        return longest_ms
    return min(longest_ms, round(revoke_ms * WATCH_WAIT_SHARE))
