"""Choice between serving a request in the own zone and forwarding it to another."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

# Older reports of free slots are ignored.
MAX_REPORT_AGE_MS = 2_000


@dataclass(frozen=True, slots=True)
class OwnSupply:
    """Usable upstreams and free slots of a pool in the own zone.

    `expected_wait_ms` is the expected wait for a slot of a request queued now.
    """

    usable: int
    free_slots: int
    expected_wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ZoneReport:
    """Another zone's report on a pool; `entry_hosts` are addresses in the zone."""

    zone: str
    entry_hosts: tuple[str, ...]
    free_slots: int
    reported_ms: int
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class SpillSettings:
    """Settings of forwarding to other zones.

    A pool is short when a request would wait longer than `max_wait_ms`. A hop to
    another zone costs a few milliseconds, so a request with a shorter wait stays in
    the own zone.
    """

    max_wait_ms: float = 50.0


@dataclass(frozen=True, slots=True)
class ServeLocally:
    """Serve the request in the own zone, at once or from the queue."""


@dataclass(frozen=True, slots=True)
class Spill:
    """Forward the request to an entry host of `zone`."""

    zone: str
    entry_host: str


ZoneChoice = ServeLocally | Spill

DEFAULT_SETTINGS = SpillSettings()


def is_short(own: OwnSupply, settings: SpillSettings = DEFAULT_SETTINGS) -> bool:
    """Return whether the own zone's pool cannot serve a request soon.

    That is so without a usable upstream, or without a free slot and with a long wait.
    """
    if own.usable == 0:
        return True
    return own.free_slots <= 0 and own.expected_wait_ms > settings.max_wait_ms


def choose_zone(
    own: OwnSupply,
    reports: Sequence[ZoneReport],
    hops: int,
    now_ms: int,
    rng: random.Random,
    settings: SpillSettings = DEFAULT_SETTINGS,
) -> ZoneChoice:
    """Return where to serve a request that has made `hops` hops between zones.

    A request that came from another zone is not forwarded again; otherwise two short
    zones could send it back and forth. The zone is drawn at random in proportion to
    the free slots, so that several seats with the same reports spread their requests.
    """
    if hops > 0 or not is_short(own, settings):
        return ServeLocally()
    fitting = [report for report in reports if _is_fitting(report, now_ms)]
    if not fitting:
        return ServeLocally()
    weights = [report.free_slots for report in fitting]
    chosen = rng.choices(fitting, weights)[0]
    return Spill(chosen.zone, rng.choice(chosen.entry_hosts))


def _is_fitting(report: ZoneReport, now_ms: int) -> bool:
    is_fresh = now_ms - report.reported_ms <= MAX_REPORT_AGE_MS
    is_open = bool(report.entry_hosts) and not report.is_leaving
    return is_fresh and is_open and report.free_slots > 0
