from __future__ import annotations

import pytest

from guavapin.peers.messages import Member
from guavapin.peers.messages import MembershipChanged
from guavapin.peers.messages import MemberStatus
from guavapin.peers.messages import PeerMessage
from guavapin.serving.exchange_relay import SupplyReport
from guavapin.serving.exchange_relay import encode_relay
from guavapin.serving.messages import AnswerBody
from guavapin.serving.messages import AnswerBroken
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import AttemptBody
from guavapin.serving.messages import AttemptClosed
from guavapin.serving.messages import AttemptHead
from guavapin.serving.messages import AttemptRequestBody
from guavapin.serving.messages import AttemptResult
from guavapin.serving.messages import CallerGone
from guavapin.serving.messages import CancelAttempt
from guavapin.serving.messages import FlowControl
from guavapin.serving.messages import RequestBody
from guavapin.serving.messages import StartAttempt
from tests.serving.exchange_support import Rig
from tests.serving.exchange_support import make_objects


def test_retry_goes_to_another_upstream() -> None:
    """Guards against a retry on the upstream that has just failed."""
    rig = Rig(make_objects())
    rig.request(1)
    first = rig.start_one()
    rig.end(first.attempt_id, AttemptResult.BROKEN)
    rig.harness.advance(100)
    second = rig.start_one()
    assert second.address != first.address
    rig.answer(second.attempt_id)
    assert [head.status for head in rig.pop_sent(AnswerHead)] == [200]


def test_failed_forward_is_served_in_the_own_zone_without_a_budget() -> None:
    """Guards against refusals because of an entry host that has just ended, while the
    own zone can serve the requests."""
    rig = Rig(make_objects(hosts=1, slots=1), peers_service="peers")
    member = Member("b1", "b", 0, "", 1, MemberStatus.ALIVE)
    rig.task.handle(MembershipChanged((member,)))
    rig.request(1)
    running = rig.start_one()
    report = SupplyReport("b", "10.0.0.9:80", {"p": 100})
    rig.task.handle(PeerMessage("b1", encode_relay(report)))
    for request_id in range(2, 42):
        rig.request(request_id)
    forwarded = rig.pop_sent(StartAttempt)
    assert len(forwarded) == 40
    for start in forwarded:
        rig.end(start.attempt_id, AttemptResult.NOT_SENT)
    assert rig.refusals() == []
    rig.answer(running.attempt_id)
    for _ in range(40):
        rig.harness.advance(100)
        rig.answer(rig.start_one().attempt_id)
    assert len(rig.pop_sent(AnswerHead)) == 41


def test_entry_host_that_cannot_be_reached_gets_no_more_requests() -> None:
    """Guards against forwards to a process that has crashed, for up to 2 s after its
    last report of free slots."""
    rig = Rig(make_objects(hosts=1, slots=1), peers_service="peers")
    member = Member("b1", "b", 0, "", 1, MemberStatus.ALIVE)
    rig.task.handle(MembershipChanged((member,)))
    report = PeerMessage("b1", encode_relay(SupplyReport("b", "h:80", {"p": 100})))
    rig.task.handle(report)
    rig.request(1)
    rig.request(2)
    _, forwarded = rig.pop_sent(StartAttempt)
    assert forwarded.address == "h:80"
    rig.end(forwarded.attempt_id, AttemptResult.NOT_SENT)
    rig.request(3)
    assert rig.pop_sent(StartAttempt) == []
    rig.task.handle(report)
    rig.request(4)
    assert rig.start_one().address == "h:80"


def test_status_503_is_retried_without_reaching_the_caller() -> None:
    """Guards against a caller that sees the error of a leaving upstream."""
    rig = Rig(make_objects())
    rig.request(1)
    first = rig.start_one()
    rig.task.handle(AttemptHead(first.attempt_id, 503, ()))
    assert rig.pop_sent(CancelAttempt) == [CancelAttempt(first.attempt_id)]
    rig.harness.advance(100)
    rig.answer(rig.start_one().attempt_id)
    assert [head.status for head in rig.pop_sent(AnswerHead)] == [200]


def test_retries_stop_when_the_budget_is_used_up() -> None:
    """Guards against retries that multiply the load on a failing pool."""
    rig = Rig(make_objects(hosts=8, slots=8))
    attempts = 0
    for request_id in range(1, 101):
        rig.request(request_id)
        for _ in range(3):
            for start in rig.pop_sent(StartAttempt):
                attempts += 1
                rig.end(start.attempt_id, AttemptResult.BROKEN)
            rig.harness.advance(100)
    assert attempts <= 110


@pytest.mark.parametrize(
    "result",
    [
        AttemptResult.BROKEN,
        AttemptResult.FIRST_BYTE_TIMEOUT,
        AttemptResult.PROGRESS_TIMEOUT,
    ],
)
def test_sent_charge_is_never_sent_again(result: AttemptResult) -> None:
    """Guards against a charge that runs twice, and a false "not run"."""
    rig = Rig(make_objects())
    rig.request(1, "POST")
    rig.end(rig.start_one().attempt_id, result)
    rig.harness.advance(1_000)
    assert rig.pop_sent(StartAttempt) == []
    assert rig.refusals() == [(1, 504, "unknown", result.value)]


def test_unsent_charge_is_tried_elsewhere_and_then_refused_as_not_run() -> None:
    """Guards against refusing a request without a retry although nothing was sent."""
    rig = Rig(make_objects())
    rig.request(1, "POST")
    rig.end(rig.start_one().attempt_id, AttemptResult.NOT_SENT)
    rig.harness.advance(100)
    rig.end(rig.start_one().attempt_id, AttemptResult.NOT_SENT)
    assert rig.refusals() == [(1, 503, "not-run", "upstream_unreachable")]


def test_not_run_is_not_reported_after_an_attempt_that_may_have_run() -> None:
    """Guards against "not-run" if only the last of two attempts was not sent."""
    rig = Rig(make_objects())
    rig.request(1)
    rig.end(rig.start_one().attempt_id, AttemptResult.BROKEN)
    rig.harness.advance(100)
    rig.end(rig.start_one().attempt_id, AttemptResult.NOT_SENT)
    assert rig.refusals() == [(1, 504, "unknown", "upstream_unreachable")]


def test_incomplete_answer_is_not_repeated() -> None:
    """Guards against an answer that is combined from two runs."""
    rig = Rig(make_objects())
    rig.request(1)
    start = rig.start_one()
    rig.task.handle(AttemptHead(start.attempt_id, 200, ()))
    rig.task.handle(AttemptBody(start.attempt_id, b"ha"))
    rig.end(start.attempt_id, AttemptResult.BROKEN)
    rig.harness.advance(1_000)
    assert rig.pop_sent(StartAttempt) == []
    assert rig.pop_sent(AnswerBroken) == [AnswerBroken(1)]


def test_small_body_is_sent_again_whole() -> None:
    """Guards against a retry with an empty or partial body."""
    rig = Rig(make_objects())
    rig.request(1, "PUT", body_follows=True)
    first = rig.start_one()
    rig.task.handle(RequestBody(1, b"ab", False))
    rig.task.handle(RequestBody(1, b"cd", True))
    assert len(rig.pop_sent(AttemptRequestBody)) == 2
    rig.end(first.attempt_id, AttemptResult.BROKEN)
    rig.harness.advance(100)
    second = rig.start_one()
    assert (second.body, second.body_follows) == (b"abcd", False)


def test_large_body_that_was_not_kept_is_not_sent_again() -> None:
    """Guards against a retry without the beginning of the body."""
    rig = Rig(make_objects())
    rig.request(1, "PUT", body_follows=True)
    first = rig.start_one()
    rig.task.handle(RequestBody(1, b"x" * 70_000, True))
    rig.end(first.attempt_id, AttemptResult.BROKEN)
    rig.harness.advance(1_000)
    assert rig.pop_sent(StartAttempt) == []
    assert rig.refusals() == [(1, 504, "unknown", "broken")]


def test_queued_body_is_bounded_and_sent_in_order() -> None:
    """Guards against unbounded memory for the bodies of waiting requests."""
    rig = Rig(make_objects(hosts=1, slots=1))
    rig.request(1)
    first = rig.start_one()
    rig.request(2, "PUT", body_follows=True)
    rig.task.handle(RequestBody(2, b"a" * 300_000, False))
    assert rig.pop_sent(FlowControl) == [FlowControl(2, True)]
    rig.answer(first.attempt_id)
    second = rig.start_one()
    assert (len(second.body), second.body_follows) == (300_000, True)
    assert rig.pop_sent(FlowControl) == [FlowControl(2, False)]
    rig.task.handle(RequestBody(2, b"b", True))
    assert rig.pop_sent(AttemptRequestBody) == [
        AttemptRequestBody(second.attempt_id, b"b", True)
    ]


def test_flow_control_is_forwarded_to_the_sender() -> None:
    """Guards against unbounded buffers while a caller reads slowly."""
    rig = Rig(make_objects())
    rig.request(5)
    start = rig.start_one()
    rig.task.handle(FlowControl(start.attempt_id, True, is_attempt=True))
    assert rig.pop_sent(FlowControl) == [FlowControl(5, True)]
    rig.task.handle(AttemptHead(start.attempt_id, 200, ()))
    rig.task.handle(FlowControl(5, True))
    assert rig.pop_sent(FlowControl) == [FlowControl(start.attempt_id, True)]


def test_body_above_the_limit_is_refused() -> None:
    """Guards against bodies larger than the service accepts, announced or not."""
    rig = Rig(make_objects(max_body_bytes=10))
    rig.request(1, "PUT", body_follows=True, content_length="11")
    assert rig.refusals() == [(1, 413, "not-run", "body_too_large")]
    rig.request(2, "PUT", body_follows=True)
    start = rig.start_one()
    rig.task.handle(RequestBody(2, b"x" * 11, False))
    assert rig.pop_sent(CancelAttempt) == [CancelAttempt(start.attempt_id)]
    assert rig.refusals() == [(2, 413, "unknown", "body_too_large")]


def test_deadline_cancels_the_attempt_and_frees_its_slot() -> None:
    """Guards against an attempt that continues after its request was refused."""
    rig = Rig(make_objects(hosts=1, slots=1))
    rig.request(1, guavapin_deadline_ms="400")
    start = rig.start_one()
    assert (b"guavapin-deadline-ms", b"400") in start.headers
    rig.request(2)
    rig.harness.advance(400)
    assert rig.pop_sent(CancelAttempt) == [CancelAttempt(start.attempt_id)]
    assert rig.refusals() == [(1, 504, "unknown", "deadline")]
    assert rig.pop_sent(StartAttempt) == []
    rig.task.handle(AttemptClosed(start.attempt_id))
    assert len(rig.pop_sent(StartAttempt)) == 1
    rig.answer(start.attempt_id, body=b"late")
    assert rig.pop_sent(AnswerBody) == [AnswerBody(1, b"unknown: deadline\n")]


def test_caller_that_leaves_frees_the_slot_for_the_next() -> None:
    """Guards against slots that stay occupied by callers that disconnected."""
    rig = Rig(make_objects(hosts=1, slots=1))
    rig.request(1)
    start = rig.start_one()
    rig.request(2)
    rig.request(3)
    rig.task.handle(CallerGone(2))
    rig.task.handle(CallerGone(1))
    assert rig.pop_sent(CancelAttempt) == [CancelAttempt(start.attempt_id)]
    assert rig.pop_sent(StartAttempt) == []
    rig.task.handle(AttemptClosed(start.attempt_id))
    rig.answer(rig.start_one().attempt_id)
    assert [head.request_id for head in rig.pop_sent(AnswerHead)] == [3]
