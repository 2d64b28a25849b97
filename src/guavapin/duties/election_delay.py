"""How long an entry host lets better ones compete for a duty first."""

from __future__ import annotations

# What a scheduler of 350 executors and 30 jobs a second needs: it gives some 500 orders
# a second and reads the open jobs at a takeover.
NEEDED_CORES = 1.0
NEEDED_LINK_MBPS = 50.0

# Head start over a host that has nothing of what is needed. A competition takes three
# calls of the store, 20 ms, and jobs are late after about a second.
MAX_ELECTION_DELAY_MS = 400


def election_delay_ms(cores: float, link_mbps: float) -> int:
    """Return how long a host with these limits waits before it competes.

    A limit of 0 is unknown and counts as enough.
    """
    shares = [
        have / needed
        for have, needed in ((cores, NEEDED_CORES), (link_mbps, NEEDED_LINK_MBPS))
        if have > 0
    ]
    return round(MAX_ELECTION_DELAY_MS * max(1 - min(shares, default=1.0), 0.0))
