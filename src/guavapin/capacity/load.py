"""Reports of each pool's load at an entry process, and the hosts it needs; pure."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import msgspec

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from guavapin.objects.model import ObjectSet

LOAD_PREFIX = "load/"

# Slots above this share are kept free: if all were in use, any request would wait.
TARGET_USE = 0.8


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Requests of one pool at one entry process."""

    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load at one entry process; pools without load are left out."""

    entry: str
    pools: dict[str, PoolLoad] = field(default_factory=dict)


def encode_load(report: LoadReport) -> bytes:
    """Return the report as MessagePack."""
    return msgspec.msgpack.encode(report)


def decode_load(value: bytes) -> Outcome[LoadReport]:
    """Return the report in `value`, or `Refused(BAD_INPUT)`."""
    try:
        return Ok(msgspec.msgpack.decode(value, type=LoadReport))
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Refused(Reason.BAD_INPUT, f"load report is malformed: {exc}")


def hosts_needed(
    reports: Iterable[LoadReport], objects: ObjectSet
) -> Mapping[str, float]:
    """Return how many hosts of each pool the reported requests need.

    For example, 64 requests of a pool with 8 slots per host need 10 hosts, since
    `TARGET_USE` of the slots should be in use.
    """
    requests: dict[str, int] = defaultdict(int)
    for report in reports:
        for pool, load in report.pools.items():
            requests[pool] += max(load.running, 0) + max(load.waiting, 0)
    return {
        pool: count / (objects.pools[pool].slots * TARGET_USE)
        for pool, count in requests.items()
        if pool in objects.pools
    }
