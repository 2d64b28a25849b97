from __future__ import annotations

from concurrent.futures import Future

import pytest

from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import Put
from guavapin.keyvalue.messages import Reply
from guavapin.publication import publisher_task
from guavapin.publication.head import CHUNK_PREFIX
from guavapin.publication.messages import ConfigurationAdopted
from guavapin.publication.messages import Publish
from guavapin.publication.messages import Published
from guavapin.publication.messages import QueryPublisher
from guavapin.publication.messages import SubscribeConfiguration
from guavapin.publication.publisher_task import MAX_QUEUED
from guavapin.publication.publisher_task import PUBLICATION_TIMEOUT_MS
from guavapin.publication.publisher_task import PublisherTask
from tests.publication.jobs import FLEET
from tests.publication.jobs import check_store
from tests.publication.jobs import head_in
from tests.publication.jobs import publish_fleet
from tests.publication.jobs import set_cores
from tests.publication.store import Fault
from tests.publication.store import Store

HOST = "h00003"


class Node:
    """A publisher task whose calls the store answers while `is_answering` is set."""

    def __init__(self) -> None:
        self.store = Store()
        publish_fleet(self.store)
        self.store.calls.clear()
        self.task = PublisherTask()
        self.harness = TaskHarness(self.task)
        self.is_answering = True
        assert self.harness.start() == Ok(None)

    def ask(self, message: object) -> Future[object]:
        fut: Future[object] = Future()
        self.task.handle(Call(message, fut))
        self.deliver_sent()
        return fut

    def deliver_sent(self) -> None:
        while sent := self.harness.take_sent():
            for item in sent:
                if isinstance(item.message, SubscribeConfiguration):
                    continue
                assert item.service == "platform"
                if self.is_answering:
                    outcome = self.store.call(item.message)
                    self.task.handle(Reply(item.message.request_id, outcome))

    def advance(self, delta_ms: int) -> None:
        for _ in range(0, delta_ms, 100):
            self.harness.advance(100)
            self.deliver_sent()


@pytest.fixture
def node() -> Node:
    return Node()


def test_publishes_without_reading_cached_chunks(node):
    node.task.handle(ConfigurationAdopted(1, FLEET))
    assert node.ask(set_cores(HOST, 8)).result(0) == Published(2)
    assert [type(call) for call in node.store.calls] == [Get, Put, Put, Put]
    node.store.calls.clear()
    assert node.ask(set_cores(HOST, 9, 2, 8)).result(0) == Published(3)
    assert len(node.store.calls) == 4


def test_queued_requests_are_published_in_order(node):
    node.is_answering = False
    futs = [node.ask(set_cores(f"h0000{index}", 8)) for index in range(5)]
    assert not any(fut.done() for fut in futs)
    node.is_answering = True
    node.task.handle(Reply(1, node.store.call(Get("", 1, "config/head"))))
    node.deliver_sent()
    assert [fut.result(0) for fut in futs] == [Published(2 + n) for n in range(5)]


def test_slow_platform_ends_every_request_at_its_deadline(node):
    # Without any answer of the platform, an operator must not wait forever.
    node.is_answering = False
    futs = [node.ask(set_cores(HOST, 8 + index)) for index in range(3)]
    node.advance(PUBLICATION_TIMEOUT_MS)
    for fut in futs:
        result = fut.result(0)
        assert isinstance(result, Refused) and result.reason is Reason.TIMEOUT
    node.is_answering = True
    assert node.ask(set_cores(HOST, 20)).result(0) == Published(2)


def test_publication_outlasts_an_outage_shorter_than_the_deadline(node):
    node.store.fault_of = lambda request: Fault.NOT_SENT
    fut = node.ask(set_cores(HOST, 8))
    node.advance(PUBLICATION_TIMEOUT_MS // 2)
    assert not fut.done() and len(node.store.calls) < 40
    node.store.fault_of = lambda request: Fault.NONE
    node.advance(3_000)
    assert fut.result(0) == Published(2)


def test_queue_is_bounded_and_a_cancelled_request_is_dropped(node):
    node.is_answering = False
    cancelled: Future[object] = Future()
    cancelled.cancel()
    node.task.handle(Call(set_cores(HOST, 7), cancelled))
    futs = [node.ask(set_cores(HOST, 8)) for _ in range(MAX_QUEUED + 2)]
    result = futs[-1].result(0)
    assert isinstance(result, Refused) and result.reason is Reason.OVERLOADED
    assert node.ask(QueryPublisher()).result(0).waiting == MAX_QUEUED + 1
    node.task.stop()
    assert all(isinstance(fut.result(0), Refused) for fut in futs)


def test_malformed_request_is_refused_without_a_call(node):
    result = node.ask(Publish(1, (), "", "")).result(0)
    assert isinstance(result, Refused) and result.reason is Reason.BAD_INPUT
    assert node.store.calls == []


def test_store_that_lost_generations_is_refused(node):
    node.task.handle(ConfigurationAdopted(5, FLEET))
    result = node.ask(set_cores(HOST, 8)).result(0)
    assert isinstance(result, Refused) and result.reason is Reason.CONFLICT


def test_unused_chunks_are_collected(node, monkeypatch):
    monkeypatch.setattr(publisher_task, "COLLECT_EVERY_GENERATIONS", 100)
    for index in range(99):
        request = set_cores(HOST, 17 + index, 1 + index, 16 + index)
        assert node.ask(request).result(0) == Published(2 + index)
    head = head_in(node.store)
    chunks = [key for key in node.store.values if key.startswith(CHUNK_PREFIX)]
    assert len(chunks) == len(head.chunks) + len(head.past)
    assert node.ask(QueryPublisher()).result(0).counters["removals"] == 100 - 65
    check_store(node.store)
