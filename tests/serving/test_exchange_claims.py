from __future__ import annotations

import pytest

from guavapin.claims.messages import ClaimGranted
from guavapin.claims.messages import ClaimKey
from guavapin.claims.messages import ClaimRefused
from guavapin.claims.messages import KeyReused
from guavapin.claims.messages import NotRun
from guavapin.claims.messages import OutcomeUnknown
from guavapin.claims.messages import RecordAnswer
from guavapin.claims.messages import RecordedAnswer
from guavapin.claims.messages import RecordUnknown
from guavapin.claims.messages import ReleaseClaim
from guavapin.kernel import Reason
from guavapin.serving.messages import AnswerBody
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import AnswerPending
from guavapin.serving.messages import AttemptResult
from guavapin.serving.messages import CallerGone
from guavapin.serving.messages import RequestBody
from guavapin.serving.messages import StartAttempt
from tests.serving.exchange_support import Rig
from tests.serving.exchange_support import make_objects


@pytest.fixture
def rig() -> Rig:
    return Rig(make_objects(hosts=2, slots=1), claims_service="claims")


def claim(rig: Rig, request_id: int = 1, **headers: str) -> ClaimKey:
    rig.request(request_id, "POST", idempotency_key="k1", **headers)
    (message,) = rig.pop_sent(ClaimKey)
    return message


def test_charge_is_sent_only_after_its_claim(rig: Rig) -> None:
    """Guards against a charge that is sent before its key is claimed."""
    message = claim(rig)
    assert (message.service, message.key) == ("s", "k1")
    assert rig.pop_sent(StartAttempt) == []
    rig.task.handle(ClaimGranted(1))
    assert rig.start_one().fresh_connection


def test_whole_answer_is_recorded(rig: Rig) -> None:
    """Guards against a second request that gets no answer or only a part of one."""
    claim(rig)
    rig.task.handle(ClaimGranted(1))
    rig.answer(rig.start_one().attempt_id, 201, b"paid")
    assert rig.pop_sent(RecordAnswer) == [RecordAnswer(1, 201, (), b"paid")]
    assert rig.pop_sent(RecordUnknown) == []


def test_slot_is_reserved_before_the_claim(rig: Rig) -> None:
    """Guards against a granted claim that is released because no slot is free."""
    claim(rig)
    rig.request(2)
    rig.request(3)
    assert len(rig.pop_sent(StartAttempt)) == 1
    rig.task.handle(ClaimGranted(1))
    assert len(rig.pop_sent(StartAttempt)) == 1


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (NotRun(Reason.CUT_OFF, ""), (1, 503, "not-run", "cut_off")),
        (OutcomeUnknown("sent"), (1, 504, "unknown", "outcome_unknown")),
        (KeyReused(), (1, 422, "not-run", "key_reused")),
    ],
)
def test_refused_claim_is_not_sent_and_frees_the_slot(
    rig: Rig, outcome: object, expected: tuple[int, int, str, str]
) -> None:
    """Guards against sending without a claim, and slots lost by refused claims."""
    claim(rig)
    rig.task.handle(ClaimRefused(1, outcome))  # type: ignore[arg-type]
    assert rig.refusals() == [expected]
    rig.request(2)
    rig.request(3)
    assert len(rig.pop_sent(StartAttempt)) == 2


def test_recorded_answer_is_repeated_whole(rig: Rig) -> None:
    """Guards against running a charge that has run already."""
    claim(rig)
    recorded = RecordedAnswer(201, ((b"x", b"y"),), b"paid")
    rig.task.handle(ClaimRefused(1, recorded))
    assert rig.pop_sent(AnswerHead) == [AnswerHead(1, 201, ((b"x", b"y"),), 4)]
    assert rig.pop_sent(AnswerBody) == [AnswerBody(1, b"paid")]
    assert rig.pop_sent(StartAttempt) == []


def test_broken_charge_is_recorded_as_unknown(rig: Rig) -> None:
    """Guards against a key that can run again after its charge may have run."""
    claim(rig)
    rig.task.handle(ClaimGranted(1))
    rig.end(rig.start_one().attempt_id, AttemptResult.BROKEN)
    assert [message.request_id for message in rig.pop_sent(RecordUnknown)] == [1]
    assert rig.pop_sent(ReleaseClaim) == []


def test_unsent_charge_is_claimed_once_and_released(rig: Rig) -> None:
    """Guards against a key that stays claimed although nothing was sent."""
    claim(rig)
    rig.task.handle(ClaimGranted(1))
    rig.end(rig.start_one().attempt_id, AttemptResult.NOT_SENT)
    rig.harness.advance(100)
    assert rig.pop_sent(ClaimKey) == []
    rig.end(rig.start_one().attempt_id, AttemptResult.NOT_SENT)
    assert rig.pop_sent(ReleaseClaim) == [ReleaseClaim(1)]
    assert rig.refusals() == [(1, 503, "not-run", "upstream_unreachable")]


def test_caller_that_leaves_during_the_claim_releases_it(rig: Rig) -> None:
    """Guards against a key that stays claimed after its caller disconnected."""
    claim(rig)
    rig.task.handle(CallerGone(1))
    assert rig.pop_sent(ReleaseClaim) == [ReleaseClaim(1)]
    rig.task.handle(ClaimGranted(1))
    assert rig.pop_sent(StartAttempt) == []


def test_caller_that_leaves_after_sending_leaves_the_outcome_unknown(rig: Rig) -> None:
    """Guards against the release of a key whose charge may have run."""
    claim(rig)
    rig.task.handle(ClaimGranted(1))
    rig.task.handle(CallerGone(1))
    assert [message.request_id for message in rig.pop_sent(RecordUnknown)] == [1]
    assert rig.pop_sent(ReleaseClaim) == []


def test_key_without_a_claims_service_is_refused() -> None:
    """Guards against running a charge with a key that cannot be claimed."""
    rig = Rig(make_objects())
    rig.request(1, "POST", idempotency_key="k1")
    assert rig.pop_sent(StartAttempt) == []
    assert rig.refusals() == [(1, 503, "not-run", "cut_off")]


def test_digest_is_the_same_however_the_body_arrives(rig: Rig) -> None:
    """Guards against refusing a repeated charge whose body parts differ in size."""
    digests = []
    for request_id, parts in ((1, (b"abc",)), (2, (b"a", b"bc")), (3, (b"abd",))):
        rig.request(request_id, "POST", idempotency_key="k1", body_follows=True)
        assert rig.pop_sent(ClaimKey) == []
        for part in parts:
            rig.task.handle(RequestBody(request_id, part, False))
        rig.task.handle(RequestBody(request_id, b"", True))
        (message,) = rig.pop_sent(ClaimKey)
        digests.append(message.digest)
        rig.task.handle(CallerGone(request_id))
    assert digests[0] == digests[1]
    assert digests[0] != digests[2]


def test_requests_that_outlast_the_process_are_answered_truthfully(rig: Rig) -> None:
    """Guards against dropped requests, a false "not run" and keys that stay claimed."""
    for request_id in (1, 2, 3):
        rig.request(request_id, "POST", idempotency_key=f"k{request_id}")
    rig.task.handle(ClaimGranted(1))
    rig.task.handle(AnswerPending())
    rig.request(4)
    assert sorted(rig.refusals()) == [
        (1, 504, "unknown", "process_ends"),
        *((number, 503, "not-run", "process_ends") for number in (2, 3, 4)),
    ]
    assert [message.request_id for message in rig.pop_sent(RecordUnknown)] == [1]
    assert ReleaseClaim(2) in rig.pop_sent(ReleaseClaim)
    assert len(rig.pop_sent(StartAttempt)) == 1


def test_no_request_is_started_while_the_process_ends() -> None:
    """Guards against a "not run" for a request that was sent in the same moment."""
    rig = Rig(make_objects(hosts=3, slots=1), claims_service="claims")
    rig.request(1, "POST", idempotency_key="k1")
    for request_id in (2, 3, 4):
        rig.request(request_id)
    first = rig.pop_sent(StartAttempt)[0]
    rig.end(first.attempt_id, AttemptResult.NOT_SENT)
    rig.harness.advance(1_000)
    rig.pop_sent(StartAttempt)
    rig.task.handle(AnswerPending())
    assert rig.pop_sent(StartAttempt) == []
