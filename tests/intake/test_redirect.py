"""Entry hosts that do not reach the store find the scheduler through peers."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

import pytest

from guavapin.http.messages import Answered
from guavapin.http.messages import PeerCall
from guavapin.http.messages import PeerReply
from guavapin.intake.peer_calls import NOT_FOUND
from guavapin.intake.peer_calls import NOT_SCHEDULING
from guavapin.intake.peer_calls import UNDECIDED
from guavapin.intake.peer_calls import PeerCallsTask
from guavapin.intake.peer_codec import PEER_PATH
from guavapin.intake.peer_codec import SCHEDULER_PATH
from guavapin.intake.peer_codec import decode_scheduler
from guavapin.intake.peer_codec import encode_peer_answer
from guavapin.intake.peer_codec import encode_peer_call
from guavapin.intake.peer_codec import encode_scheduler
from guavapin.intake.reachability import CutOff
from guavapin.intake.rejection import REJECTION
from guavapin.intake.task import IntakeTask
from guavapin.jobs.calls import QueryJob
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import StateIs
from guavapin.jobs.calls import Undecided
from guavapin.jobs.model import JobState
from guavapin.jobs.queues import QueueTable
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue import messages as kv
from guavapin.keyvalue.reach import ReachabilityReport
from guavapin.scheduling.messages import JobReply
from guavapin.scheduling.messages import KnownScheduler
from guavapin.scheduling.messages import PeerScheduler
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.serving.messages import AnswerPending
from guavapin.serving.request_handler import WholeRequest
from tests.scheduling.simulation import QUEUE

OLD = KnownScheduler("10.0.0.1:1", "old@10.0.0.1:1#1", 5)
NEW = KnownScheduler("10.0.0.2:1", "new@10.0.0.2:1#1", 9)
CALL = QueryJob("a" * 16)


class Codec:
    """Codec that decodes each request as the same query and keeps the answers."""

    deadline_header = b"x-deadline-ms"
    key_header = b"authorization"

    def read_key(self, value: str) -> str:
        return value

    def __init__(self) -> None:
        self.answers: list = []

    def decode(self, *_: object) -> QueryJob:
        return CALL

    def encode(self, answer: object) -> tuple:
        self.answers.append(answer)
        return 200, (), b""


@pytest.fixture
def rig() -> SimpleNamespace:
    codec = Codec()
    observer = SimpleNamespace(observe_call=lambda *_: None)
    task = IntakeTask(codec, "me@10.0.0.9:1#1", observer)
    harness = TaskHarness(task)
    harness.start()
    task.handle(QueueTableChanged(QueueTable(1, (QUEUE,), ())))
    task.handle(OLD)
    harness.take_sent()
    return SimpleNamespace(task=task, harness=harness, codec=codec)


def send_query(rig: SimpleNamespace) -> PeerCall:
    headers = ((b"host", QUEUE.host.encode()),)
    target = f"{QUEUE.prefix}{CALL.job_id}"
    rig.task.handle_request(WholeRequest(1, "GET", target, headers, b"", 0))
    return sent(rig, PeerCall)[0]


def sent(rig: SimpleNamespace, kind: type) -> list:
    messages = [row.message for row in rig.harness.take_sent()]
    return [message for message in messages if isinstance(message, kind)]


def test_a_call_is_forwarded_to_the_scheduler_that_a_peer_names(rig) -> None:
    # Guards against the fault of gagnon-jobs-grown trouble-1: hosts whose calls the
    # store refused kept calling the previous scheduler for nine seconds and served no
    # caller.
    call = send_query(rig)
    assert call.address == OLD.address
    answer = Answered(NOT_SCHEDULING, encode_scheduler(NEW))
    rig.task.handle(PeerReply(call.request_id, answer))
    assert sent(rig, PeerCall)[0].address == NEW.address
    assert send_query(rig).address == NEW.address


@pytest.mark.parametrize("body", [encode_scheduler(OLD), b"", b"\xff", b"{}"])
def test_without_a_newer_scheduler_the_store_is_queried(rig, body: bytes) -> None:
    # Guards against a call that is forwarded in a cycle of hosts that do not schedule.
    call = send_query(rig)
    rig.task.handle(PeerReply(call.request_id, Answered(NOT_SCHEDULING, body)))
    messages = [row.message for row in rig.harness.take_sent()]
    assert any(isinstance(message, kv.Get) for message in messages)
    assert ReachabilityReport(False) in messages


def test_an_announcement_of_an_earlier_scheduler_is_ignored(rig) -> None:
    # Guards against a peer's outdated announcement that overrides the store.
    rig.task.handle(PeerScheduler(replace(NEW, token=3)))
    assert send_query(rig).address == OLD.address


def test_a_new_scheduler_is_announced_to_its_predecessor(rig) -> None:
    # Guards against a scheduler cut off from the store that is never notified of its
    # successor.
    own = KnownScheduler("10.0.0.9:1", "me@10.0.0.9:1#1", 11)
    rig.task.handle(KnownScheduler("", "", 0))
    rig.task.handle(own)
    (announcement,) = sent(rig, PeerCall)
    assert (announcement.address, announcement.path) == (OLD.address, SCHEDULER_PATH)
    assert decode_scheduler(announcement.body) == own


@pytest.mark.parametrize(
    ("reply", "status"),
    [
        (JobReply(1, None, known_scheduler=NEW), NOT_SCHEDULING),
        (JobReply(1, None), NOT_FOUND),
        (JobReply(1, None, may_have_effect=True, known_scheduler=NEW), UNDECIDED),
    ],
)
def test_the_status_tells_a_peer_why_there_is_no_answer(
    reply: JobReply, status: int
) -> None:
    # Guards against a submission that is rejected although the term ended while it was
    # being stored, so that it may have taken effect.
    task = PeerCallsTask()
    harness = TaskHarness(task)
    harness.start()
    body = encode_peer_call(CALL)
    task.handle_request(WholeRequest(1, "POST", PEER_PATH, (), body, 0))
    harness.take_sent()
    statuses: list[int] = []
    task.answer = lambda _, code, *rest: statuses.append(code)  # type: ignore[method-assign]
    task.handle(reply)
    assert statuses == [status]


def test_an_undecided_status_does_not_lead_to_a_rejection(rig) -> None:
    # Guards against the rejection of a submission that may have taken effect, by the
    # host that forwarded it.
    call = send_query(rig)
    rig.task.handle(PeerReply(call.request_id, Answered(UNDECIDED, b"")))
    (request,) = sent(rig, kv.Get)
    rig.task.handle(kv.Reply(request.request_id, kv.NotSent("turned away")))
    rig.harness.advance(3_000)
    assert isinstance(rig.codec.answers[-1], Undecided)


def test_a_host_that_is_cut_off_rejects_a_call_without_sending_it(rig) -> None:
    # Guards against a rejection of a call that may still take effect, and against
    # callers that wait in a zone that is cut off.
    rig.task.handle(CutOff(True))
    headers = ((b"host", QUEUE.host.encode()), (b"x-deadline-ms", b"3000"))
    target = f"{QUEUE.prefix}{CALL.job_id}"
    rig.task.handle_request(WholeRequest(1, "GET", target, headers, b"", 0))
    assert rig.codec.answers == [REJECTION]
    assert not sent(rig, PeerCall)


def test_a_caller_without_time_to_return_is_not_rejected_at_once(rig) -> None:
    # Guards against a caller whose last attempt is lost, although the partition ends
    # within its time.
    rig.task.handle(CutOff(True))
    headers = ((b"host", QUEUE.host.encode()), (b"x-deadline-ms", b"900"))
    target = f"{QUEUE.prefix}{CALL.job_id}"
    rig.task.handle_request(WholeRequest(1, "GET", target, headers, b"", 0))
    assert rig.codec.answers == [] and sent(rig, PeerCall)


def test_an_answer_after_the_deadline_is_dropped(rig) -> None:
    # Guards against a request that is answered twice.
    call = send_query(rig)
    rig.harness.advance(3_000)
    answered = len(rig.codec.answers)
    body = encode_peer_answer(StateIs(JobState.RUNNING))
    rig.task.handle(PeerReply(call.request_id, Answered(200, body)))
    assert len(rig.codec.answers) == answered == 1


@pytest.mark.parametrize("deadline", [b"\xb2", b"\xb9\xb2", b"-1", b"9" * 5_000, b""])
def test_a_deadline_that_is_not_a_number_is_ignored(rig, deadline: bytes) -> None:
    # Guards against a caller whose header ends the entry host: `str.isdigit` accepts
    # "\u00b2", and `int` raises for it.
    headers = ((b"host", QUEUE.host.encode()), (b"x-deadline-ms", deadline))
    target = f"{QUEUE.prefix}{CALL.job_id}"
    rig.task.handle_request(WholeRequest(1, "GET", target, headers, b"", 0))
    assert len(sent(rig, PeerCall)) == 1


def test_calls_in_progress_are_answered_before_the_process_ends(rig) -> None:
    # Guards against callers whose connections are closed without an answer, because
    # their deadlines are later than the end of the process.
    send_query(rig)
    rig.task.handle(AnswerPending())
    assert [type(answer) for answer in rig.codec.answers] == [Undecided]
    rig.harness.advance(3_000)
    assert len(rig.codec.answers) == 1


def test_a_call_without_effect_is_rejected_before_the_process_ends(rig) -> None:
    # Guards against an undecided answer to a caller who may be told to come again.
    call = send_query(rig)
    rig.task.handle(PeerReply(call.request_id, Answered(NOT_SCHEDULING, b"")))
    rig.task.handle(AnswerPending())
    assert [type(answer) for answer in rig.codec.answers] == [Rejected]


def test_a_call_that_arrives_before_the_end_is_rejected_at_once(rig) -> None:
    # Guards against a request that is read in the last moments of a process and gets no
    # answer.
    rig.task.handle(AnswerPending())
    headers = ((b"host", QUEUE.host.encode()),)
    rig.task.handle_request(WholeRequest(1, "GET", QUEUE.prefix, headers, b"", 0))
    assert [type(answer) for answer in rig.codec.answers] == [Rejected]
    assert not sent(rig, PeerCall)
