from __future__ import annotations

import random
from collections import Counter

import pytest

from guavapin.routing.health import UpstreamHealth
from guavapin.routing.indexed_set import IndexedSet
from guavapin.routing.picker import LeastOutstandingPicker
from guavapin.routing.picker import Picker
from guavapin.routing.picker import PickRequest
from guavapin.routing.picker import RandomPicker
from guavapin.routing.picker import TwoChoicesPicker
from guavapin.routing.picker import WeightedTwoChoicesPicker
from guavapin.routing.picker import long_work_upstreams

PICKERS: list[Picker] = [
    RandomPicker(),
    LeastOutstandingPicker(),
    TwoChoicesPicker(),
    WeightedTwoChoicesPicker(),
]


@pytest.mark.parametrize("picker", PICKERS, ids=lambda picker: type(picker).__name__)
def test_picker_excludes_tried_upstreams(picker: Picker) -> None:
    """Guards against a retry on the upstream that has just failed."""
    health = {name: UpstreamHealth() for name in "abc"}
    rng = random.Random(1)
    for _ in range(200):
        picked = picker.pick(list("abc"), health, PickRequest(tried=("a", "b")), 0, rng)
        assert picked == "c"
    request = PickRequest(tried=("a", "b", "c"))
    assert picker.pick(list("abc"), health, request, 0, rng) is None
    assert picker.pick([], health, PickRequest(), 0, rng) is None


def test_weighted_picker_avoids_a_fast_failing_upstream() -> None:
    """Guards against a fast-failing upstream that gets most of the requests."""
    health = {name: UpstreamHealth(outstanding=4) for name in "abcdefgh"}
    health["a"] = UpstreamHealth(outstanding=0, failure_share=0.9)
    rng = random.Random(2)
    counts: Counter[str | None] = Counter()
    for _ in range(2_000):
        counts[
            WeightedTwoChoicesPicker().pick(list(health), health, PickRequest(), 0, rng)
        ] += 1
    # Both samples are the failing upstream in 1 of 64 picks.
    assert counts["a"] < 2_000 / 32


def test_long_work_goes_to_the_busier_upstream() -> None:
    """Guards against long work that occupies slots on all upstreams."""
    health = {"a": UpstreamHealth(outstanding=3), "b": UpstreamHealth()}
    rng = random.Random(3)
    picks = Counter(
        WeightedTwoChoicesPicker().pick(
            ["a", "b"], health, PickRequest(is_long=True), 0, rng
        )
        for _ in range(400)
    )
    assert picks["a"] > 2 * picks["b"]


def test_long_work_upstreams_are_the_same_for_all_seats() -> None:
    """Guards against seats that choose different upstreams for long work."""
    names = [f"h{index}" for index in range(10)]
    chosen = long_work_upstreams("routes", names, 0.3)
    assert chosen == long_work_upstreams("routes", names[::-1], 0.3)
    assert len(chosen) == 3
    assert chosen != long_work_upstreams("labels", names, 0.3)


def test_indexed_set_matches_a_set() -> None:
    """Guards against a picker that samples an upstream without a free slot."""
    rng = random.Random(4)
    indexed, plain = IndexedSet(), set[str]()
    for _ in range(2_000):
        name = str(rng.randrange(20))
        if rng.random() < 0.5:
            indexed.add(name)
            plain.add(name)
        else:
            indexed.discard(name)
            plain.discard(name)
        assert sorted(indexed.items) == sorted(plain)
        assert (name in indexed) == (name in plain)
    assert len(indexed) == len(plain)
