from __future__ import annotations

from collections import deque
from concurrent.futures import Future
from dataclasses import replace
from typing import Any

from guavapin.kernel import Call
from guavapin.limits.slots import LoanSettings
from guavapin.objects.model import Service
from guavapin.objects.model import TeamQuota
from guavapin.peers.messages import Member
from guavapin.peers.messages import MembershipChanged
from guavapin.peers.messages import MemberStatus
from guavapin.peers.messages import PeerMessage
from guavapin.peers.messages import Relay
from guavapin.peers.messages import SendToAll
from guavapin.peers.messages import SendToPeer
from guavapin.peers.messages import SendToZone
from guavapin.serving.exchange_messages import AwaitLoansReturned
from guavapin.serving.exchange_messages import GetSupply
from guavapin.serving.exchange_relay import SupplyReport
from guavapin.serving.exchange_relay import decode_relay
from guavapin.serving.exchange_relay import encode_relay
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import AttemptClosed
from guavapin.serving.messages import AttemptHead
from guavapin.serving.messages import AttemptResult
from guavapin.serving.messages import CallerGone
from guavapin.serving.messages import CancelAttempt
from guavapin.serving.messages import StartAttempt
from guavapin.serving.upstreams_config import UpstreamsConfig
from tests.serving.exchange_support import Rig
from tests.serving.exchange_support import make_objects


def supply(rig: Rig) -> Any:
    class Reply:
        value: Any = None

        def set_result(self, value: Any) -> None:
            self.value = value

    fut = Reply()
    rig.task.handle(Call(GetSupply(), fut))  # type: ignore[arg-type]
    return fut.value["p"]


def test_team_above_its_rate_is_refused() -> None:
    """Guards against one team that uses up the capacity of a service."""
    quota = TeamQuota("q", "crews", "s", 1.0, burst=2)
    rig = Rig(make_objects(slots=8, quotas=(quota,)))
    for request_id in range(1, 5):
        rig.request(request_id, guavapin_team="crews")
    rig.request(9, guavapin_team="others")
    assert len(rig.pop_sent(StartAttempt)) == 3
    assert [item[:3] for item in rig.refusals()] == [
        (3, 429, "not-run"),
        (4, 429, "not-run"),
    ]


def test_team_above_its_slots_waits_without_blocking_others() -> None:
    """Guards against a team that occupies all slots, and a parked request that never
    starts."""
    quota = TeamQuota("q", "crews", "s", 100.0, burst=100, max_slots=1)
    rig = Rig(make_objects(hosts=1, slots=4, quotas=(quota,)))
    for request_id in range(1, 4):
        rig.request(request_id, guavapin_team="crews")
    rig.request(9, guavapin_team="others")
    first, other = rig.pop_sent(StartAttempt)
    rig.answer(other.attempt_id)
    assert rig.pop_sent(StartAttempt) == []
    rig.answer(first.attempt_id)
    second = rig.start_one()
    rig.task.handle(CallerGone(2))
    rig.answer(rig.start_one().attempt_id)
    assert second.attempt_id != first.attempt_id
    assert [head.request_id for head in rig.pop_sent(AnswerHead)] == [9, 1, 3]


def test_urgent_request_starts_first() -> None:
    """Guards against urgent requests that wait behind ordinary ones."""
    rig = Rig(make_objects(hosts=1, slots=1))
    rig.request(1)
    first = rig.start_one()
    rig.request(2)
    rig.request(3, guavapin_priority="urgent")
    rig.answer(first.attempt_id)
    rig.answer(rig.start_one().attempt_id)
    assert [head.request_id for head in rig.pop_sent(AnswerHead)] == [1, 3]


def test_request_that_cannot_be_answered_in_time_is_refused_at_once() -> None:
    """Guards against a caller that waits for a refusal until its deadline."""
    rig = Rig(make_objects(hosts=1, slots=1, expected_run_ms=1_000))
    rig.request(1)
    rig.request(2, guavapin_deadline_ms="1500")
    assert rig.refusals() == [(2, 503, "not-run", "deadline")]


def test_unknown_service_is_refused() -> None:
    """Guards against a request without a service that gets no answer."""
    rig = Rig(make_objects())
    rig.request(1, target="/other")
    assert rig.refusals() == [(1, 404, "not-run", "no_such_service")]


def test_seat_holds_off_after_its_start() -> None:
    """Guards against exceeded slots while requests of the previous process run."""
    rig = Rig(make_objects(), is_first_start=False)
    rig.request(1)
    rig.harness.advance(LoanSettings().hold_off_ms - 10_000)
    rig.request(2)
    rig.harness.advance(9_999)
    assert rig.pop_sent(StartAttempt) == []
    rig.harness.advance(251)
    assert len(rig.pop_sent(StartAttempt)) == 1


def test_upstream_that_announces_its_leaving_gets_no_more_work() -> None:
    """Guards against work for an upstream that has announced its leaving, before the
    list of hosts confirms it."""
    rig = Rig(make_objects(hosts=2, slots=4), peers_service="peers")
    rig.request(1)
    start = rig.start_one()
    rig.task.handle(
        AttemptHead(start.attempt_id, 200, ((b"guavapin-leaving", b"true"),))
    )
    (notice,) = rig.pop_sent(SendToZone)
    for request_id in range(2, 8):
        rig.request(request_id)
    addresses = {attempt.address for attempt in rig.pop_sent(StartAttempt)}
    assert addresses and start.address not in addresses
    other = Rig(make_objects(hosts=2, slots=4))
    other.task.handle(PeerMessage("e2", notice.message))
    other.request(1)
    assert other.start_one().address != start.address


def test_broken_upstream_is_ejected_and_readmitted_after_a_trial() -> None:
    """Guards against a failing upstream that stays in use, and a recovered one that
    stays ejected."""
    rig = Rig(make_objects(hosts=2, slots=4))
    bad, is_broken, used = "h0:80", True, 0
    for request_id in range(1, 600):
        rig.request(request_id)
        for start in rig.pop_sent(StartAttempt):
            is_bad = start.address == bad
            used += is_bad
            if is_bad and is_broken and start.method == "GET":
                rig.answer(start.attempt_id, status=500)
            else:
                rig.answer(start.attempt_id)
        if request_id == 300:
            assert used <= 15
            is_broken, used = False, 0
        rig.harness.advance(100)
    assert used > 30


def test_probe_is_sent_when_no_request_can_be_the_trial() -> None:
    """Guards against an ejected upstream that stays out because all its work is
    non-idempotent."""
    rig = Rig(make_objects(hosts=2, slots=4))
    for request_id in range(1, 40):
        rig.request(request_id, "POST")
        for start in rig.pop_sent(StartAttempt):
            ok = start.address != "h0:80"
            rig.answer(start.attempt_id, status=200 if ok else 500)
    rig.harness.advance(900)
    assert rig.pop_sent(StartAttempt) == []
    rig.harness.advance(3_000)
    probe = rig.start_one()
    assert (probe.method, probe.address) == ("HEAD", "h0:80")
    rig.answer(probe.attempt_id, body=b"")
    assert supply(rig).usable == 2


def connect(rigs: list[Rig]) -> None:
    members = [
        Member(f"e{seat}", "a", seat, "", 1, MemberStatus.ALIVE)
        for seat in range(len(rigs))
    ]
    for seat, rig in enumerate(rigs):
        others = tuple(member for member in members if member.seat != seat)
        rig.task.handle(MembershipChanged(others))


def deliver(rigs: list[Rig]) -> None:
    for seat, rig in enumerate(rigs):
        for item in rig.pop_sent(SendToPeer):
            assert isinstance(item.message, Relay)
            to = rigs[int(item.peer[1:])]
            to.task.handle(PeerMessage(f"e{seat}", item.message))


def test_busy_seat_borrows_the_idle_slots_of_another() -> None:
    """Guards against slots of another seat that stay idle while requests wait, and
    against more requests than slots."""
    objects = make_objects(hosts=1, slots=8, seats=2)
    rigs = [
        Rig(objects, seat=seat, incarnation=seat + 1, peers_service="peers")
        for seat in range(2)
    ]
    connect(rigs)
    for request_id in range(1, 13):
        rigs[0].request(request_id)
    started = rigs[0].pop_sent(StartAttempt)
    assert len(started) == 4
    for _ in range(20):
        for rig in rigs:
            rig.harness.advance(250)
        deliver(rigs)
        deliver(rigs)
        started += rigs[0].pop_sent(StartAttempt)
    assert len(started) == 7
    for request_id in range(1, 5):
        rigs[1].request(request_id)
    assert len(rigs[1].pop_sent(StartAttempt)) == 1
    for start in started:
        rigs[0].answer(start.attempt_id)
    for _ in range(8):
        for rig in rigs:
            rig.harness.advance(250)
        deliver(rigs)
    started = rigs[0].pop_sent(StartAttempt) + rigs[1].pop_sent(StartAttempt)
    # One request of seat 1 still runs, so all 8 slots are in use.
    assert len(started) + 1 == 8


def release(rig: Rig) -> Future[Any]:
    fut: Future[Any] = Future()
    rig.task.handle(Call(AwaitLoansReturned(), fut))
    return fut


def test_released_seat_lends_no_slot() -> None:
    """Guards against more requests than slots: the next process of a released seat uses
    its whole share at once, beside a loan that its predecessor gave meanwhile."""
    objects = make_objects(hosts=1, slots=8, seats=2)
    rigs = [
        Rig(objects, seat=seat, incarnation=seat + 1, peers_service="peers")
        for seat in range(2)
    ]
    connect(rigs)
    fut = release(rigs[1])
    rigs[1].harness.advance(250)
    assert fut.done()
    for request_id in range(1, 13):
        rigs[0].request(request_id)
    started = rigs[0].pop_sent(StartAttempt)
    for _ in range(20):
        for rig in rigs:
            rig.harness.advance(250)
        deliver(rigs)
        deliver(rigs)
        started += rigs[0].pop_sent(StartAttempt)
    assert len(started) == 4


def test_leaving_process_gets_its_slots_back() -> None:
    """Guards against a stop that waits for the end of a loan, up to 47 s, because the
    borrower returns nothing to a process that leaves."""
    objects = make_objects(hosts=1, slots=8, seats=2)
    rigs = [
        Rig(objects, seat=seat, incarnation=seat + 1, peers_service="peers")
        for seat in range(2)
    ]
    connect(rigs)
    for request_id in range(1, 7):
        rigs[0].request(request_id)
    started = rigs[0].pop_sent(StartAttempt)
    for _ in range(4):
        rigs[0].harness.advance(250)
        deliver(rigs)
        deliver(rigs)
        started += rigs[0].pop_sent(StartAttempt)
    assert len(started) == 6
    leaving = Member("e1", "a", 1, "", 1, MemberStatus.LEAVING)
    rigs[0].task.handle(MembershipChanged((leaving,)))
    fut = release(rigs[1])
    rigs[1].harness.advance(250)
    assert not fut.done()
    for start in started:
        rigs[0].answer(start.attempt_id)
    for _ in range(6):
        rigs[0].harness.advance(250)
        deliver(rigs)
        rigs[1].harness.advance(250)
    assert fut.done()


def test_seat_is_not_released_beside_a_probe() -> None:
    """Guards against more requests than slots: the slot of a probe in progress counts,
    and no probe begins after the release."""
    rig = Rig(make_objects(hosts=2, slots=4))
    for request_id in range(1, 40):
        rig.request(request_id, "POST")
        for start in rig.pop_sent(StartAttempt):
            ok = start.address != "h0:80"
            rig.answer(start.attempt_id, status=200 if ok else 500)
    rig.harness.advance(3_900)
    probe = rig.start_one()
    fut = release(rig)
    rig.harness.advance(250)
    assert not fut.done()
    rig.end(probe.attempt_id, AttemptResult.BROKEN)
    rig.harness.advance(60_000)
    assert fut.done()
    assert rig.pop_sent(StartAttempt) == []


def test_zone_short_of_slots_forwards_a_request_once() -> None:
    """Guards against requests that wait while another zone is idle, and against a
    request that is forwarded twice."""
    rig = Rig(make_objects(hosts=1, slots=1), peers_service="peers")
    member = Member("b1", "b", 0, "", 1, MemberStatus.ALIVE)
    rig.task.handle(MembershipChanged((member,)))
    report = SupplyReport("b", "10.0.0.9:80", {"p": 5})
    rig.task.handle(PeerMessage("b1", encode_relay(report)))
    rig.request(1)
    assert rig.start_one().address == "h0:80"
    rig.request(2)
    spilled = rig.start_one()
    assert spilled.address == "10.0.0.9:80"
    assert (b"guavapin-hops", b"1") in spilled.headers
    rig.request(3, guavapin_hops="1")
    assert rig.pop_sent(StartAttempt) == []
    refused = ((b"guavapin-outcome", b"not-run"),)
    rig.task.handle(AttemptHead(spilled.attempt_id, 503, refused))
    rig.harness.advance(100)
    assert rig.pop_sent(AnswerHead) == []


def test_no_request_is_forwarded_to_a_process_that_leaves() -> None:
    """Guards against refusals because of a process that has closed its listener: its
    reports of free slots went on."""
    rig = Rig(make_objects(hosts=1, slots=1), peers_service="peers")
    member = Member("b1", "b", 0, "", 1, MemberStatus.LEAVING)
    rig.task.handle(MembershipChanged((member,)))
    report = SupplyReport("b", "10.0.0.9:80", {"p": 5})
    rig.task.handle(PeerMessage("b1", encode_relay(report)))
    rig.request(1)
    assert rig.start_one().address == "h0:80"
    rig.request(2)
    assert rig.pop_sent(StartAttempt) == []


def test_free_slots_are_reported_to_other_zones() -> None:
    """Guards against zones without information about the slots of other zones."""
    rig = Rig(
        make_objects(hosts=2, slots=2), peers_service="peers", callers_address="h:1"
    )
    rig.request(1)
    rig.harness.advance(1_000)
    (sent,) = rig.pop_sent(SendToAll)
    assert isinstance(sent.message, Relay)
    report = decode_relay(sent.message)
    assert report == SupplyReport("a", "h:1", {"p": 3})


def test_malformed_relay_is_dropped() -> None:
    """Guards against a message of a peer of another version that stops the process."""
    for body in (b"", b"\xc1", b"\x92\xa1x\xc0", b"\x92\xa6return\x81\xa1x\x01"):
        assert decode_relay(Relay("exchanges", body)) is None


def test_host_that_left_the_pool_gets_no_work_and_frees_nothing_twice() -> None:
    """Guards against a moved host that still gets work, and a wrong count of running
    requests."""
    rig = Rig(make_objects(hosts=2, slots=1))
    rig.request(1)
    rig.request(2)
    starts = rig.pop_sent(StartAttempt)
    rig.configure(make_objects(hosts=1, slots=1))
    for start in starts:
        rig.end(start.attempt_id, AttemptResult.COMPLETE)
    rig.request(3)
    rig.request(4)
    assert [start.address for start in rig.pop_sent(StartAttempt)] == ["h0:80"]
    assert supply(rig).running == 1


def test_requests_cancelled_by_their_deadline_do_not_eject_their_upstream() -> None:
    """Guards against the ejection of healthy upstreams under overload, when requests
    start shortly before their deadline."""
    rig = Rig(make_objects(hosts=2, slots=4))
    for request_id in range(1, 61):
        rig.request(request_id, guavapin_deadline_ms="150")
        for start in rig.pop_sent(StartAttempt):
            assert start.first_byte_ms > 150
            if request_id <= 20:
                rig.harness.advance(100)
                rig.answer(start.attempt_id)
        rig.harness.advance(200)
    assert supply(rig).usable == 2


def test_silent_upstream_is_ejected_by_deadlines() -> None:
    """Guards against an upstream that never answers and stays in use."""
    rig = Rig(make_objects(hosts=2, slots=4))
    closed_ms: deque[tuple[int, int]] = deque()
    for request_id in range(1, 80):
        now_ms = rig.harness.now_ms()
        for cancelled in rig.pop_sent(CancelAttempt):
            close_ms = now_ms + UpstreamsConfig().close_timeout_ms
            closed_ms.append((close_ms, cancelled.attempt_id))
        while closed_ms and closed_ms[0][0] <= now_ms:
            rig.task.handle(AttemptClosed(closed_ms.popleft()[1]))
        rig.request(request_id, "POST", guavapin_deadline_ms="3000")
        for start in rig.pop_sent(StartAttempt):
            if start.address != "h0:80" and start.method == "POST":
                rig.harness.advance(10)
                rig.answer(start.attempt_id)
        rig.harness.advance(500)
    assert supply(rig).usable == 1


def test_long_work_with_the_path_of_short_work_keeps_the_slots_in_use() -> None:
    """Guards against an adaptive limit that treats 100 times longer work as load."""
    rig = Rig(make_objects(hosts=1, slots=8))
    for request_id in range(1, 600):
        rig.request(request_id)
        for start in rig.pop_sent(StartAttempt):
            rig.harness.advance(1_000 if request_id % 20 == 0 else 10)
            rig.answer(start.attempt_id)
    assert supply(rig).total_slots == 8


def test_moved_host_is_held_off_while_its_old_pool_uses_it() -> None:
    """Guards against exceeded slots of a host that changes its pool while in use."""
    objects = make_objects(hosts=1, slots=1)
    rig = Rig(objects)
    rig.request(1)
    assert len(rig.pop_sent(StartAttempt)) == 1
    other = replace(objects.pools["p"], name="q")
    rig.configure(
        replace(
            objects,
            hosts={"h0": replace(objects.hosts["h0"], pool="q")},
            pools={**objects.pools, "q": other},
            services={
                **objects.services,
                "t": Service("t", "q", path_prefix="/t"),
            },
        )
    )
    rig.request(2, target="/t/x")
    rig.harness.advance(1_000)
    assert rig.pop_sent(StartAttempt) == []


def test_loan_of_a_host_that_left_and_returned_gets_a_new_number() -> None:
    """Guards against a late message about an old loan that matches a new one."""
    objects = make_objects(hosts=2)
    rig = Rig(objects)
    before = rig.task._router.pools["p"].records["h1"].slots.next_number
    rig.harness.advance(1_000)
    rig.configure(make_objects(hosts=1))
    rig.configure(objects)
    after = rig.task._router.pools["p"].records["h1"].slots.next_number
    assert after > before + 1_000


def test_long_work_with_the_path_of_short_work_is_not_cut_off() -> None:
    """Guards against a timeout derived from short work that cuts off long work."""
    rig = Rig(make_objects(hosts=1, slots=1, timeout_ms=120_000))
    timeouts_ms = []
    for request_id in range(1, 601):
        rig.request(request_id)
        start = rig.start_one()
        timeouts_ms.append(start.first_byte_ms)
        rig.harness.advance(10_000 if request_id % 20 == 0 else 100)
        rig.answer(start.attempt_id)
    assert min(timeouts_ms) > 20_000


def test_first_byte_timeout_follows_the_usual_run_time() -> None:
    """Guards against a silent connection that holds its slot until the deadline."""
    rig = Rig(make_objects(hosts=1, slots=1))
    for request_id in range(1, 301):
        rig.request(request_id)
        rig.harness.advance(100)
        rig.answer(rig.start_one().attempt_id)
    rig.request(999)
    assert rig.start_one().first_byte_ms == 5_000


def test_hold_off_covers_the_longest_timeout() -> None:
    """Guards against slots reused while a long request of the old process runs."""
    rig = Rig(make_objects(timeout_ms=100_000), is_first_start=False)
    rig.harness.advance(20_000)
    rig.request(1)
    rig.harness.advance(80_000)
    assert rig.pop_sent(StartAttempt) == []
    rig.harness.advance(8_500)
    assert len(rig.pop_sent(StartAttempt)) == 1
