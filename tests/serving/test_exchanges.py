from __future__ import annotations

from dataclasses import replace

import pytest

from guavapin.kernel.harness import Sent
from guavapin.kernel.harness import TaskHarness
from guavapin.serving.exchange_settings import ExchangeSettings
from guavapin.serving.exchanges import ExchangesTask
from guavapin.serving.messages import AnswerBody
from guavapin.serving.messages import AnswerBroken
from guavapin.serving.messages import AnswerEnd
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import AttemptBody
from guavapin.serving.messages import AttemptEnded
from guavapin.serving.messages import AttemptHead
from guavapin.serving.messages import AttemptResult
from guavapin.serving.messages import CallerGone
from guavapin.serving.messages import CancelAttempt
from guavapin.serving.messages import RequestReceived
from guavapin.serving.messages import StartAttempt
from guavapin.serving.route_table import RouteTableChanged
from guavapin.serving.route_table import build_route_table
from guavapin.serving.route_table import match_service
from guavapin_demo.sites import GAGNON
from guavapin_demo.sites import build_objects

SITE = build_objects(GAGNON)
# One seat in each zone, so that it may use all slots of an executor.
OBJECTS = replace(
    SITE, zones={name: replace(zone, seats=1) for name, zone in SITE.zones.items()}
)
PLACEMENTS = {name: host.pool for name, host in OBJECTS.hosts.items()}
ZONE = "rimouski"


def make_request(
    request_id: int, target: str = "/renewals/7", method: str = "GET"
) -> RequestReceived:
    return RequestReceived(request_id, method, target, (), 0, False)


@pytest.fixture
def task() -> ExchangesTask:
    return ExchangesTask(ExchangeSettings(ZONE, is_first_start=True))


@pytest.fixture
def harness(task) -> TaskHarness:
    harness = TaskHarness(task)
    harness.start()
    task.handle(RouteTableChanged(build_route_table(OBJECTS, 1, PLACEMENTS)))
    return harness


def messages_of(harness: TaskHarness, kind: type) -> list:
    return [sent.message for sent in harness.sent if isinstance(sent.message, kind)]


def test_prefix_matches_whole_segments_only():
    table = build_route_table(OBJECTS, 1, PLACEMENTS)
    assert match_service(table, "", "/renewals?x=1").name == "renewals"
    assert match_service(table, "", "/renewals-old") is None


def test_answer_goes_to_its_own_request_whole(task, harness):
    task.handle(make_request(1))
    (attempt,) = messages_of(harness, StartAttempt)
    harness.take_sent()
    task.handle(AttemptHead(attempt.attempt_id, 200, ((b"content-length", b"2"),)))
    task.handle(AttemptBody(attempt.attempt_id, b"ok"))
    task.handle(AttemptEnded(attempt.attempt_id, AttemptResult.COMPLETE))
    assert [sent.message for sent in harness.sent] == [
        AnswerHead(1, 200, ((b"content-length", b"2"),), 2),
        AnswerBody(1, b"ok"),
        AnswerEnd(1),
    ]


def test_late_answer_of_a_cancelled_attempt_is_dropped(task, harness):
    task.handle(make_request(1))
    (attempt,) = messages_of(harness, StartAttempt)
    task.handle(CallerGone(1))
    assert messages_of(harness, CancelAttempt) == [CancelAttempt(attempt.attempt_id)]
    harness.take_sent()
    task.handle(AttemptHead(attempt.attempt_id, 200, ()))
    assert harness.sent == []


def test_answer_cut_short_is_broken_not_ended(task, harness):
    task.handle(make_request(1))
    (attempt,) = messages_of(harness, StartAttempt)
    task.handle(AttemptHead(attempt.attempt_id, 200, ()))
    task.handle(AttemptEnded(attempt.attempt_id, AttemptResult.BROKEN))
    assert harness.sent[-1] == Sent("front", AnswerBroken(1))


def test_slots_are_not_exceeded_and_waiting_requests_follow(task, harness):
    hosts = [
        host
        for host in OBJECTS.hosts.values()
        if host.pool == "renewals" and host.zone == ZONE
    ]
    slots = 8 * len(hosts)
    for request_id in range(1, slots + 3):
        task.handle(make_request(request_id))
    attempts = messages_of(harness, StartAttempt)
    assert len(attempts) == slots
    task.handle(AttemptEnded(attempts[0].attempt_id, AttemptResult.BROKEN))
    assert len(messages_of(harness, StartAttempt)) == slots + 1


def test_drained_host_gets_no_new_work(task, harness):
    drained = next(
        host
        for host in OBJECTS.hosts.values()
        if host.pool == "renewals" and host.zone == ZONE
    )
    table = build_route_table(OBJECTS, 2, PLACEMENTS, frozenset({drained.name}))
    task.handle(RouteTableChanged(table))
    for request_id in range(1, 9):
        task.handle(make_request(request_id))
    addresses = {attempt.address for attempt in messages_of(harness, StartAttempt)}
    assert addresses and drained.address not in addresses


def test_request_that_waits_past_its_deadline_is_refused_as_not_run(task, harness):
    for request_id in range(1, 18):
        task.handle(make_request(request_id))
    harness.advance(30_000)
    refused = [head for head in messages_of(harness, AnswerHead) if head.status == 503]
    assert [head.request_id for head in refused] == [17]
    assert (b"guavapin-outcome", b"not-run") in refused[0].headers


def test_attempt_that_was_not_answered_is_outcome_unknown(task, harness):
    task.handle(make_request(1, method="POST"))
    (attempt,) = messages_of(harness, StartAttempt)
    ended = AttemptEnded(attempt.attempt_id, AttemptResult.FIRST_BYTE_TIMEOUT)
    task.handle(ended)
    (head,) = messages_of(harness, AnswerHead)
    assert head.status == 504
    assert (b"guavapin-outcome", b"unknown") in head.headers
