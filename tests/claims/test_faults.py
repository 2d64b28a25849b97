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
from tests.claims.variants import VARIANTS
from tests.claims.variants import Make
from tests.claims.variants import record_store
from tests.claims.world import World
from tests.claims.world import answer_to
from tests.claims.world import due_now

DONE = RecordedAnswer(201, ((b"x", b"1"),), b"done")


@pytest.fixture(params=VARIANTS)
def make(request: pytest.FixtureRequest) -> Make:
    made: Make = request.param
    return made


@pytest.fixture
def record_world() -> World:
    """Two processes with the default store, which alone has these abilities."""
    world = World(record_store, 2)
    world.run_for(10)
    return world


@pytest.fixture
def world(make: Make) -> World:
    world = World(make, 2)
    world.run_for(10)
    return world


def granted(world: World, request_id: int) -> bool:
    return world.requests[request_id].is_granted


def told(world: World, request_id: int) -> object:
    return world.requests[request_id].told


def hold(world: World, process: int = 0, key: str = "k") -> int:
    """Return a request that holds the key."""
    request_id = world.claim(process, key)
    world.run_for(100)
    assert granted(world, request_id)
    return request_id


def test_second_request_gets_the_recorded_answer(world: World) -> None:
    # Guards against a second run of a repeated request, on the same host or another.
    first = hold(world)
    waiting = [world.claim(1, "k"), world.claim(0, "k"), world.claim(1, "k")]
    world.run_for(300)
    assert [told(world, item) for item in waiting] == [None] * 3
    world.finish(first, answer_to(first))
    world.run_for(1_500)
    assert [told(world, item) for item in waiting] == [DONE] * 3
    later = [world.claim(0, "k"), world.claim(1, "k")]
    world.run_for(100)
    assert [told(world, item) for item in later] == [DONE] * 2


def test_two_hosts_at_the_same_moment(world: World) -> None:
    # Guards against two claims that both see no record.
    both = [world.claim(0, "k"), world.claim(1, "k")]
    world.run_for(100)
    assert sorted(granted(world, item) for item in both) == [False, True]
    holder = both[0] if granted(world, both[0]) else both[1]
    world.finish(holder, RecordUnknown(holder, "connection broke"))
    world.run_for(2_000)
    other = sum(both) - holder
    assert told(world, other) == OutcomeUnknown("connection broke")


def test_claimant_dies_before_its_claim_reached_the_platform(world: World) -> None:
    # Guards against a dead process's write that takes effect after another's claim.
    dead = world.claim(0, "k")
    world.die(0)
    hold(world, 1)
    while world.late:
        world.apply(world.late.pop())
    third = world.claim(1, "k", wait_ms=200)
    world.run_for(500)
    assert not granted(world, dead) and not granted(world, third)


@pytest.mark.parametrize(
    "step", ["after the claim", "after the send", "during the answer", "unrecorded"]
)
def test_claimant_dies_later(world: World, step: str) -> None:
    # Guards against a second host that takes over a claim whose holder is silent;
    # whatever the holder has done since, nothing tells it apart at the platform.
    first = hold(world)
    if step == "unrecorded":
        world.finish(first, answer_to(first))
    world.die(0)
    world.late.clear()
    second = world.claim(1, "k", wait_ms=30_000)
    world.run_for(29_000)
    assert told(world, second) is None
    world.run_for(2_000)
    assert isinstance(told(world, second), OutcomeUnknown)
    third = world.claim(1, "k", wait_ms=500)
    world.run_for(1_000)
    assert isinstance(told(world, third), OutcomeUnknown)


def test_claimant_pauses_before_its_claim_and_wakes(world: World) -> None:
    # Guards against a paused process that sends after another host took the key.
    paused = world.claim(0, "k", wait_ms=10_000_000)
    calls, world.processes[0].calls = world.processes[0].calls, []
    wakes, world.processes[0].wakes = world.processes[0].wakes, []
    other = hold(world, 1)
    world.finish(other, RecordAnswer(other, 200, (), b"by the other"))
    world.run_for(3_600_000)
    world.processes[0].calls, world.processes[0].wakes = calls, wakes
    due_now(world, 0)
    world.run_for(3_000)
    assert not granted(world, paused)
    assert isinstance(told(world, paused), NotRun | RecordedAnswer)


def test_claimant_pauses_with_the_claim_and_wakes(world: World) -> None:
    # Guards against a claim that lapses under a paused holder.
    first = hold(world)
    second = world.claim(1, "k")
    world.run_for(3_600_000)
    assert isinstance(told(world, second), OutcomeUnknown)
    world.finish(first, answer_to(first))
    world.run_for(1_000)
    third = world.claim(1, "k")
    world.run_for(1_000)
    assert told(world, third) == DONE


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_claim_whose_answer_is_lost_is_settled_by_repetition(
    world: World, fault: str
) -> None:
    # Guards against a key that stays claimed for a request that was refused, and
    # against one granted on a write whose result is not known.
    first = world.claim(0, "k")
    world.execute(0, fault=fault)
    world.deliver(0)
    assert not granted(world, first)
    world.run_for(200)
    assert granted(world, first)
    while world.late:
        world.apply(world.late.pop())
    second = world.claim(1, "k", wait_ms=500)
    world.run_for(1_000)
    assert not granted(world, second)


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_outcome_whose_answer_is_lost_is_written_once(world: World, fault: str) -> None:
    # Guards against a record that is lost or replaced when its answer is lost.
    first = hold(world)
    world.finish(first, answer_to(first))
    world.execute(0, fault=fault)
    world.run_for(500)
    while world.late:
        world.apply(world.late.pop())
    second = world.claim(1, "k")
    world.run_for(500)
    assert told(world, second) == DONE


@pytest.mark.parametrize("fault", ["", "lost", "late"])
def test_released_key_is_claimed_by_the_next_request(world: World, fault: str) -> None:
    # Guards against keys that stay claimed for requests that were never sent.
    first = hold(world)
    waiting = world.claim(1, "k")
    world.run_for(100)
    world.finish(first, ReleaseClaim(first))
    world.execute(0, fault=fault)
    world.run_for(2_000)
    assert granted(world, waiting)


def test_release_hands_the_claim_to_a_request_of_the_same_host(world: World) -> None:
    # Guards against needless writes: the claim is held and nothing was sent.
    first = hold(world)
    second = world.claim(0, "k")
    writes = world.writes
    world.finish(first, ReleaseClaim(first))
    assert granted(world, second)
    assert world.writes == writes


@pytest.mark.parametrize("fault", ["not_sent", "late", "lost", "limited"])
def test_platform_down(record_world: World, fault: str) -> None:
    # Guards against requests that wait for their whole deadline with a slot, and
    # against claims that stay although their request was refused as not run.
    world = record_world
    first = world.claim(0, "k", wait_ms=60_000)
    world.run_for(2_000, fault)
    outcome = told(world, first)
    assert isinstance(outcome, NotRun)
    is_limited = fault == "limited"
    assert outcome.reason is (Reason.OVERLOADED if is_limited else Reason.CUT_OFF)
    if not is_limited:
        trial = world.claim(0, "trial", wait_ms=60_000)
        second = world.claim(0, "other", wait_ms=60_000)
        assert told(world, trial) is None
        assert told(world, second) == NotRun(
            Reason.CUT_OFF, "the platform does not answer"
        )
    while world.late:
        world.apply(world.late.pop())
    world.run_for(5_000)
    again = world.claim(1, "k")
    world.run_for(1_000)
    assert granted(world, again)


def test_platform_down_while_waiting_for_another_host(world: World) -> None:
    # Guards against "not run" for a key that another host is known to hold.
    hold(world)
    second = world.claim(1, "k", wait_ms=3_000)
    world.run_for(500)
    world.run_for(4_000, "not_sent")
    assert isinstance(told(world, second), OutcomeUnknown)


def test_key_with_a_different_request_is_refused(world: World) -> None:
    # Guards against one request answered with another's answer.
    first = hold(world)
    reused = [world.claim(0, "k", b"other"), world.claim(1, "k", b"other")]
    world.run_for(200)
    assert [told(world, item) for item in reused] == [KeyReused()] * 2
    world.finish(first, answer_to(first))
    world.run_for(500)
    later = [world.claim(0, "k", b"other"), world.claim(1, "k", b"other")]
    world.run_for(500)
    assert [told(world, item) for item in later] == [KeyReused()] * 2


def test_large_answer_is_not_repeated(world: World) -> None:
    # Guards against truncated answers and values beyond the platform's limit.
    first = hold(world)
    world.finish(first, RecordAnswer(first, 200, (), bytes(256 * 1024 + 1)))
    second = hold(world, key="l")
    world.finish(second, RecordAnswer(second, 200, (), bytes(256 * 1024)))
    world.run_for(500)
    again = [world.claim(1, "k"), world.claim(1, "l")]
    world.run_for(500)
    outcome = told(world, again[0])
    assert isinstance(outcome, OutcomeUnknown)
    assert "too large to repeat" in outcome.detail
    assert told(world, again[1]) == RecordedAnswer(200, (), bytes(256 * 1024))


def test_claim_ends_with_its_retention(record_world: World) -> None:
    # Guards against records that are kept for ever, and for less than a day.
    world = record_world
    first = hold(world)
    world.finish(first, answer_to(first))
    world.run_for(23 * 3_600_000)
    second = world.claim(1, "k")
    world.run_for(1_000)
    assert told(world, second) == DONE
    world.run_for(2 * 3_600_000)
    third = world.claim(1, "k")
    world.run_for(1_000)
    assert granted(world, third)


def test_record_that_ends_before_it_is_read_is_claimed_anew(
    record_world: World,
) -> None:
    # Guards against a grant without a write of one's own: two processes may see the
    # record's absence at the same time.
    world = record_world
    first = hold(world)
    both = [world.claim(1, "k"), world.claim(0, "l")]
    world.execute(1)
    world.deliver(1)
    path = next(item.key for item in world.platform.list_prefix("claims/"))
    revision = world.platform.get(path).revision
    world.platform.delete(path, revision)
    world.requests[first].finished = ReleaseClaim(first)
    writes = world.writes
    world.execute(1)
    world.deliver(1)
    assert not granted(world, both[0])
    world.run_for(100)
    assert granted(world, both[0])
    assert world.writes == writes + 2


def test_waiting_is_bounded_in_calls(world: World) -> None:
    # Guards against waiting requests that use up the platform's rate of reads.
    first = hold(world)
    waiting = [world.claim(1, "k", wait_ms=30_000) for _ in range(50)]
    before = world.reads
    world.run_for(29_000)
    assert world.reads - before <= 29 * 4
    world.finish(first, answer_to(first))
    world.run_for(1_500)
    assert [told(world, item) for item in waiting] == [DONE] * 50


def test_keys_and_waiters_are_bounded() -> None:
    # Guards against memory that grows with the number of requests.
    cfg = ClaimsConfig(max_keys=3, max_waiters=2)
    world = World(lambda process_id: RecordStore(cfg, process_id), 1)
    for number in range(4):
        world.claim(0, f"k{number}")
    refused = told(world, 4)
    assert isinstance(refused, NotRun)
    assert refused.reason is Reason.OVERLOADED
    world.run_for(100)
    for _ in range(3):
        world.claim(0, "k0")
    assert isinstance(told(world, 7), OutcomeUnknown)


def test_unconfirmed_claims_are_bounded() -> None:
    # Guards against a slow platform that collects the slots of all upstreams.
    cfg = ClaimsConfig(max_claiming=3)
    world = World(lambda process_id: RecordStore(cfg, process_id), 1)
    for number in range(4):
        world.claim(0, f"k{number}")
    refused = told(world, 4)
    assert isinstance(refused, NotRun)
    assert refused.reason is Reason.OVERLOADED
    world.run_for(100)
    assert [granted(world, item) for item in (1, 2, 3)] == [True] * 3
    world.claim(0, "k5")
    world.run_for(100)
    assert granted(world, 5)
