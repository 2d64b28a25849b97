from __future__ import annotations

import random
from collections import Counter

from guavapin.routing.zones import OwnSupply
from guavapin.routing.zones import ServeLocally
from guavapin.routing.zones import Spill
from guavapin.routing.zones import ZoneReport
from guavapin.routing.zones import choose_zone

SHORT = OwnSupply(usable=2, free_slots=0, expected_wait_ms=500)
REPORTS = (
    ZoneReport("b", ("10.0.0.1:1", "10.0.0.2:1"), free_slots=9, reported_ms=0),
    ZoneReport("c", ("10.0.1.1:1",), free_slots=1, reported_ms=0),
)


def test_own_zone_serves_while_it_is_not_short() -> None:
    """Guards against needless hops between zones."""
    rng = random.Random(1)
    for own in (OwnSupply(2, 1, 500), OwnSupply(2, 0, 20)):
        assert choose_zone(own, REPORTS, 0, 0, rng) == ServeLocally()


def test_request_hops_at_most_once() -> None:
    """Guards against two short zones that forward a request back and forth."""
    choice = choose_zone(SHORT, REPORTS, hops=1, now_ms=0, rng=random.Random(1))
    assert choice == ServeLocally()


def test_spill_is_proportional_to_free_slots() -> None:
    """Guards against all seats of a short zone overloading the same other zone."""
    rng = random.Random(2)
    zones: Counter[str] = Counter()
    for _ in range(1_000):
        choice = choose_zone(SHORT, REPORTS, 0, 0, rng)
        assert isinstance(choice, Spill)
        zones[choice.zone] += 1
    assert 800 < zones["b"] < 970


def test_stale_leaving_or_full_zones_get_no_requests() -> None:
    """Guards against forwarding to a zone that cannot serve, or is cut off."""
    rng = random.Random(3)
    reports = (
        ZoneReport("b", ("10.0.0.1:1",), 9, reported_ms=0),
        ZoneReport("c", ("10.0.0.2:1",), 0, reported_ms=5_000),
        ZoneReport("d", ("10.0.0.3:1",), 9, reported_ms=5_000, is_leaving=True),
        ZoneReport("e", (), 9, reported_ms=5_000),
    )
    no_upstream = OwnSupply(usable=0, free_slots=0)
    assert choose_zone(no_upstream, reports, 0, 5_000, rng) == ServeLocally()
    assert choose_zone(no_upstream, reports[:1], 0, 1_000, rng) == Spill(
        "b", "10.0.0.1:1"
    )
