"""Delays the competition for a duty on hosts with few resources."""

from __future__ import annotations

# Resources for a scheduler of 350 executors and 30 jobs per second. It sends about 500
# orders per second and reads the open jobs at a takeover.
NEEDED_CORES = 1.0
NEEDED_LINK_MBPS = 50.0

# Delay of a host that has none of the needed resources. A competition takes three
# calls to the store, 20 ms in total; jobs are late after about a second.
MAX_ELECTION_DELAY_MS = 400


def election_delay_ms(cores: float, link_mbps: float) -> int:
    """Return the delay before a host with these limits competes for a free duty.

    The scarcest limit decides. A limit of 0 is unknown and counts as sufficient.
    """
    shares = [
        have / needed
        for have, needed in ((cores, NEEDED_CORES), (link_mbps, NEEDED_LINK_MBPS))
        if have > 0
    ]
    return round(MAX_ELECTION_DELAY_MS * max(1 - min(shares, default=1.0), 0.0))
