from __future__ import annotations

import pytest

from guavapin.claims.messages import RecordAnswer
from guavapin.claims.messages import RecordedAnswer
from guavapin.claims.messages import ReleaseClaim
from guavapin.keyvalue.messages import Put
from tests.claims.simulation import Simulation
from tests.claims.simulation import answer_to
from tests.claims.test_faults import granted
from tests.claims.test_faults import hold
from tests.claims.test_faults import refusal
from tests.claims.variants import record_store


@pytest.fixture
def sim() -> Simulation:
    sim = Simulation(record_store, 2)
    sim.run_for(10)
    return sim


def test_outcomes_of_several_keys_share_a_write(sim: Simulation) -> None:
    # Guards against a second write for each keyed request.
    requests = [sim.claim(0, f"k{number}") for number in range(10)]
    sim.run_for(50)
    assert sim.writes == 10
    for request_id in requests:
        sim.finish(request_id, answer_to(request_id))
    sim.run_for(500)
    assert sim.writes <= 12
    again = [sim.claim(1, f"k{number}") for number in range(10)]
    sim.run_for(100)
    for request_id, repeated in zip(requests, again, strict=True):
        assert refusal(sim, repeated) == RecordedAnswer(
            201, ((b"x", b"%d" % request_id),), b"done"
        )


def test_single_outcome_is_written_at_once(sim: Simulation) -> None:
    # Guards against a linger time when no other outcome can join the page.
    first = hold(sim)
    sim.finish(first, answer_to(first))
    assert isinstance(sim.processes[0].calls[0], Put)


def test_key_claimed_again_after_its_release_counts_as_claimed(
    sim: Simulation,
) -> None:
    # Guards against a second grant because of the released entry still in the page.
    first = hold(sim)
    sim.finish(first, ReleaseClaim(first))
    second = sim.claim(0, "k")
    sim.run_for(100)
    assert granted(sim, second)
    other = sim.claim(1, "k", wait_ms=500)
    sim.run_for(1_000)
    assert not granted(sim, other)


def test_outcome_added_during_a_lost_write_is_written_later(
    sim: Simulation,
) -> None:
    # Guards against an entry that counts as written because of a conflict with an
    # earlier copy of the page, which had fewer entries.
    first, second = sim.claim(0, "k"), sim.claim(0, "l")
    sim.run_for(20)
    sim.finish(first, answer_to(first))
    sim.wake(0, len(sim.processes[0].wakes) - 1)
    sim.execute(0, fault="late")
    sim.finish(second, answer_to(second))
    sim.apply(sim.delayed_calls.pop())
    sim.run_for(1_000)
    again = sim.claim(1, "l")
    sim.run_for(500)
    assert refusal(sim, again) == RecordedAnswer(201, ((b"x", b"2"),), b"done")


def test_large_answer_reaches_the_requests_that_follow_the_page(
    sim: Simulation,
) -> None:
    # Guards against requests that wait until their deadline, because the answer is in
    # the key's own record and not in the page that they follow.
    first = hold(sim)
    waiting = sim.claim(1, "k")
    sim.run_for(100)
    sim.finish(first, RecordAnswer(first, 200, (), bytes(100_000)))
    sim.run_for(500)
    assert refusal(sim, waiting) == RecordedAnswer(200, (), bytes(100_000))


def test_waiting_request_does_not_poll_a_page_deleted_after_retention(
    sim: Simulation,
) -> None:
    # Guards against repeated watches on a deleted page, each of which ends at once.
    hour_ms = 3_600_000
    first, other = sim.claim(0, "k"), sim.claim(0, "l")
    sim.run_for(20)
    sim.finish(other, answer_to(other))
    sim.run_for(500)
    waiting = sim.claim(1, "k", wait_ms=30 * hour_ms)
    sim.run_for(23 * hour_ms)
    assert refusal(sim, waiting) is None
    reads = sim.reads
    sim.run_for(2 * hour_ms)
    assert sim.reads - reads < 2 * 3_600 / 20 * 4
    assert granted(sim, first) and granted(sim, waiting)


def test_pages_are_removed_when_their_claims_are_settled(sim: Simulation) -> None:
    # Guards against memory that grows with the number of requests.
    for number in range(200):
        request_id = sim.claim(0, f"k{number}")
        sim.run_for(20)
        if number % 3:
            sim.finish(request_id, answer_to(request_id))
        else:
            sim.finish(request_id, ReleaseClaim(request_id))
    sim.run_for(1_000)
    counters = sim.processes[0].store.counters()
    assert counters["keys"] == 0
    assert counters["pages"] <= 1
