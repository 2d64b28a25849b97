from __future__ import annotations

import pytest

from guavapin.claims.messages import KeyReused
from guavapin.claims.messages import NotRun
from guavapin.claims.messages import OutcomeUnknown
from guavapin.claims.messages import RecordAnswer
from guavapin.claims.messages import RecordedAnswer
from guavapin.claims.messages import RecordUnknown
from guavapin.claims.messages import ReleaseClaim
from guavapin.claims.record_store import RecordStore
from guavapin.claims.store import ClaimsConfig
from guavapin.kernel.outcome import Reason
from tests.claims.simulation import Simulation
from tests.claims.simulation import answer_to
from tests.claims.simulation import make_timers_due
from tests.claims.variants import VARIANTS
from tests.claims.variants import StoreFactory
from tests.claims.variants import record_store

DONE = RecordedAnswer(201, ((b"x", b"1"),), b"done")


@pytest.fixture(params=VARIANTS)
def make_store(request: pytest.FixtureRequest) -> StoreFactory:
    made: StoreFactory = request.param
    return made


@pytest.fixture
def record_sim() -> Simulation:
    """Return two processes with the default store, for features that only it has."""
    sim = Simulation(record_store, 2)
    sim.run_for(10)
    return sim


@pytest.fixture
def sim(make_store: StoreFactory) -> Simulation:
    sim = Simulation(make_store, 2)
    sim.run_for(10)
    return sim


def granted(sim: Simulation, request_id: int) -> bool:
    return sim.requests[request_id].is_granted


def refusal(sim: Simulation, request_id: int) -> object:
    return sim.requests[request_id].refusal


def hold(sim: Simulation, process: int = 0, key: str = "k") -> int:
    """Claim a key and return the id of the request, which then holds it."""
    request_id = sim.claim(process, key)
    sim.run_for(100)
    assert granted(sim, request_id)
    return request_id


def test_second_request_gets_the_recorded_answer(sim: Simulation) -> None:
    # Guards against a second run of a repeated request, on the same or another host.
    first = hold(sim)
    waiting = [sim.claim(1, "k"), sim.claim(0, "k"), sim.claim(1, "k")]
    sim.run_for(300)
    assert [refusal(sim, item) for item in waiting] == [None] * 3
    sim.finish(first, answer_to(first))
    sim.run_for(1_500)
    assert [refusal(sim, item) for item in waiting] == [DONE] * 3
    later = [sim.claim(0, "k"), sim.claim(1, "k")]
    sim.run_for(100)
    assert [refusal(sim, item) for item in later] == [DONE] * 2


def test_only_one_of_two_simultaneous_claims_is_granted(sim: Simulation) -> None:
    # Guards against two grants when both claims find no record.
    both = [sim.claim(0, "k"), sim.claim(1, "k")]
    sim.run_for(100)
    assert sorted(granted(sim, item) for item in both) == [False, True]
    holder = both[0] if granted(sim, both[0]) else both[1]
    sim.finish(holder, RecordUnknown(holder, "connection broke"))
    sim.run_for(2_000)
    other = sum(both) - holder
    assert refusal(sim, other) == OutcomeUnknown("connection broke")


def test_late_write_of_a_dead_claimant_grants_nothing(sim: Simulation) -> None:
    # Guards against a write of a dead process that takes effect after another claim.
    dead = sim.claim(0, "k")
    sim.kill(0)
    hold(sim, 1)
    while sim.delayed_calls:
        sim.apply(sim.delayed_calls.pop())
    third = sim.claim(1, "k", wait_ms=200)
    sim.run_for(500)
    assert not granted(sim, dead) and not granted(sim, third)


@pytest.mark.parametrize(
    "step", ["after the claim", "after the send", "during the answer", "unrecorded"]
)
def test_claim_of_a_dead_holder_is_not_taken_over(sim: Simulation, step: str) -> None:
    # Guards against a second host that takes over a claim whose holder is silent. The
    # platform's data don't show how far the holder got before it died.
    first = hold(sim)
    if step == "unrecorded":
        sim.finish(first, answer_to(first))
    sim.kill(0)
    sim.delayed_calls.clear()
    second = sim.claim(1, "k", wait_ms=30_000)
    sim.run_for(29_000)
    assert refusal(sim, second) is None
    sim.run_for(2_000)
    assert isinstance(refusal(sim, second), OutcomeUnknown)
    third = sim.claim(1, "k", wait_ms=500)
    sim.run_for(1_000)
    assert isinstance(refusal(sim, third), OutcomeUnknown)


def test_process_paused_before_its_claim_is_not_granted_a_used_key(
    sim: Simulation,
) -> None:
    # Guards against a paused process that sends its request after another host has
    # claimed the key.
    paused = sim.claim(0, "k", wait_ms=10_000_000)
    calls, sim.processes[0].calls = sim.processes[0].calls, []
    wakes, sim.processes[0].wakes = sim.processes[0].wakes, []
    other = hold(sim, 1)
    sim.finish(other, RecordAnswer(other, 200, (), b"by the other"))
    sim.run_for(3_600_000)
    sim.processes[0].calls, sim.processes[0].wakes = calls, wakes
    make_timers_due(sim, 0)
    sim.run_for(3_000)
    assert not granted(sim, paused)
    assert isinstance(refusal(sim, paused), NotRun | RecordedAnswer)


def test_paused_holder_keeps_its_claim(sim: Simulation) -> None:
    # Guards against a claim that expires while its holder is paused.
    first = hold(sim)
    second = sim.claim(1, "k")
    sim.run_for(3_600_000)
    assert isinstance(refusal(sim, second), OutcomeUnknown)
    sim.finish(first, answer_to(first))
    sim.run_for(1_000)
    third = sim.claim(1, "k")
    sim.run_for(1_000)
    assert refusal(sim, third) == DONE


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_claim_whose_answer_is_lost_is_settled_by_repetition(
    sim: Simulation, fault: str
) -> None:
    # Guards against a key that stays claimed for a refused request, and against a grant
    # by a write whose result is not known.
    first = sim.claim(0, "k")
    sim.execute(0, fault=fault)
    sim.deliver(0)
    assert not granted(sim, first)
    sim.run_for(200)
    assert granted(sim, first)
    while sim.delayed_calls:
        sim.apply(sim.delayed_calls.pop())
    second = sim.claim(1, "k", wait_ms=500)
    sim.run_for(1_000)
    assert not granted(sim, second)


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_outcome_whose_answer_is_lost_is_written_once(
    sim: Simulation, fault: str
) -> None:
    # Guards against an outcome that is lost or written twice when the answer to its
    # write is lost.
    first = hold(sim)
    sim.finish(first, answer_to(first))
    sim.execute(0, fault=fault)
    sim.run_for(500)
    while sim.delayed_calls:
        sim.apply(sim.delayed_calls.pop())
    second = sim.claim(1, "k")
    sim.run_for(500)
    assert refusal(sim, second) == DONE


@pytest.mark.parametrize("fault", ["", "lost", "late"])
def test_released_key_is_claimed_by_the_next_request(
    sim: Simulation, fault: str
) -> None:
    # Guards against keys that stay claimed for requests that were never sent.
    first = hold(sim)
    waiting = sim.claim(1, "k")
    sim.run_for(100)
    sim.finish(first, ReleaseClaim(first))
    sim.execute(0, fault=fault)
    sim.run_for(2_000)
    assert granted(sim, waiting)


def test_release_hands_the_claim_to_a_request_of_the_same_host(sim: Simulation) -> None:
    # Guards against needless writes: the process holds the claim and sent nothing.
    first = hold(sim)
    second = sim.claim(0, "k")
    writes = sim.writes
    sim.finish(first, ReleaseClaim(first))
    assert granted(sim, second)
    assert sim.writes == writes


@pytest.mark.parametrize("fault", ["not_sent", "late", "lost", "limited"])
def test_claims_are_refused_while_the_platform_is_down(
    record_sim: Simulation, fault: str
) -> None:
    # Guards against requests that occupy a slot until their deadline, and against
    # claims that remain although their request was refused as not run.
    sim = record_sim
    first = sim.claim(0, "k", wait_ms=60_000)
    sim.run_for(2_000, fault)
    outcome = refusal(sim, first)
    assert isinstance(outcome, NotRun)
    is_limited = fault == "limited"
    assert outcome.reason is (Reason.OVERLOADED if is_limited else Reason.CUT_OFF)
    if not is_limited:
        trial = sim.claim(0, "trial", wait_ms=60_000)
        second = sim.claim(0, "other", wait_ms=60_000)
        assert refusal(sim, trial) is None
        assert refusal(sim, second) == NotRun(
            Reason.CUT_OFF, "the platform does not answer"
        )
    while sim.delayed_calls:
        sim.apply(sim.delayed_calls.pop())
    sim.run_for(5_000)
    again = sim.claim(1, "k")
    sim.run_for(1_000)
    assert granted(sim, again)


def test_outcome_of_a_key_held_elsewhere_is_unknown_in_an_outage(
    sim: Simulation,
) -> None:
    # Guards against the outcome "not run" for a key that another host is known to hold.
    hold(sim)
    second = sim.claim(1, "k", wait_ms=3_000)
    sim.run_for(500)
    sim.run_for(4_000, "not_sent")
    assert isinstance(refusal(sim, second), OutcomeUnknown)


def test_key_with_a_different_request_is_refused(sim: Simulation) -> None:
    # Guards against a request that gets the answer of a different request.
    first = hold(sim)
    reused = [sim.claim(0, "k", b"other"), sim.claim(1, "k", b"other")]
    sim.run_for(200)
    assert [refusal(sim, item) for item in reused] == [KeyReused()] * 2
    sim.finish(first, answer_to(first))
    sim.run_for(500)
    later = [sim.claim(0, "k", b"other"), sim.claim(1, "k", b"other")]
    sim.run_for(500)
    assert [refusal(sim, item) for item in later] == [KeyReused()] * 2


def test_large_answer_is_not_repeated(sim: Simulation) -> None:
    # Guards against truncated answers and values above the platform's size limit.
    first = hold(sim)
    sim.finish(first, RecordAnswer(first, 200, (), bytes(256 * 1024 + 1)))
    second = hold(sim, key="l")
    sim.finish(second, RecordAnswer(second, 200, (), bytes(256 * 1024)))
    sim.run_for(500)
    again = [sim.claim(1, "k"), sim.claim(1, "l")]
    sim.run_for(500)
    outcome = refusal(sim, again[0])
    assert isinstance(outcome, OutcomeUnknown)
    assert "too large to repeat" in outcome.detail
    assert refusal(sim, again[1]) == RecordedAnswer(200, (), bytes(256 * 1024))


def test_claim_ends_with_its_retention(record_sim: Simulation) -> None:
    # Guards against records that are kept for ever or for less than a day.
    sim = record_sim
    first = hold(sim)
    sim.finish(first, answer_to(first))
    sim.run_for(23 * 3_600_000)
    second = sim.claim(1, "k")
    sim.run_for(1_000)
    assert refusal(sim, second) == DONE
    sim.run_for(2 * 3_600_000)
    third = sim.claim(1, "k")
    sim.run_for(1_000)
    assert granted(sim, third)


def test_record_that_ends_before_it_is_read_is_claimed_anew(
    record_sim: Simulation,
) -> None:
    # Guards against a grant without a write of the claim: two processes can find the
    # record absent at the same time.
    sim = record_sim
    first = hold(sim)
    both = [sim.claim(1, "k"), sim.claim(0, "l")]
    sim.execute(1)
    sim.deliver(1)
    path = next(item.key for item in sim.platform.list_prefix("claims/"))
    revision = sim.platform.get(path).revision
    sim.platform.delete(path, revision)
    sim.requests[first].finished = ReleaseClaim(first)
    writes = sim.writes
    sim.execute(1)
    sim.deliver(1)
    assert not granted(sim, both[0])
    sim.run_for(100)
    assert granted(sim, both[0])
    assert sim.writes == writes + 2


def test_waiting_requests_make_a_bounded_number_of_reads(sim: Simulation) -> None:
    # Guards against waiting requests that exhaust the platform's read rate limit.
    first = hold(sim)
    waiting = [sim.claim(1, "k", wait_ms=30_000) for _ in range(50)]
    before = sim.reads
    sim.run_for(29_000)
    assert sim.reads - before <= 29 * 4
    sim.finish(first, answer_to(first))
    sim.run_for(1_500)
    assert [refusal(sim, item) for item in waiting] == [DONE] * 50


def test_keys_and_waiters_are_bounded() -> None:
    # Guards against memory that grows with the number of requests.
    cfg = ClaimsConfig(max_keys=3, max_waiters=2)
    sim = Simulation(lambda process_id: RecordStore(cfg, process_id), 1)
    for number in range(4):
        sim.claim(0, f"k{number}")
    refused = refusal(sim, 4)
    assert isinstance(refused, NotRun)
    assert refused.reason is Reason.OVERLOADED
    sim.run_for(100)
    for _ in range(3):
        sim.claim(0, "k0")
    assert isinstance(refusal(sim, 7), OutcomeUnknown)


def test_unconfirmed_claims_are_bounded() -> None:
    # Guards against a slow platform whose waiting claims occupy the slots of all
    # upstreams.
    cfg = ClaimsConfig(max_claiming=3)
    sim = Simulation(lambda process_id: RecordStore(cfg, process_id), 1)
    for number in range(4):
        sim.claim(0, f"k{number}")
    refused = refusal(sim, 4)
    assert isinstance(refused, NotRun)
    assert refused.reason is Reason.OVERLOADED
    sim.run_for(100)
    assert [granted(sim, item) for item in (1, 2, 3)] == [True] * 3
    sim.claim(0, "k5")
    sim.run_for(100)
    assert granted(sim, 5)
