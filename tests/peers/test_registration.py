from __future__ import annotations

import msgspec
import pytest

from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue.messages import Conflict
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import KeyRevision
from guavapin.keyvalue.messages import Leased
from guavapin.keyvalue.messages import LeaseGrant
from guavapin.keyvalue.messages import LeaseRenew
from guavapin.keyvalue.messages import LeaseRevoke
from guavapin.keyvalue.messages import Listed
from guavapin.keyvalue.messages import ListPrefix
from guavapin.keyvalue.messages import Missing
from guavapin.keyvalue.messages import NotSent
from guavapin.keyvalue.messages import Put
from guavapin.keyvalue.messages import Reply
from guavapin.keyvalue.messages import Unknown
from guavapin.keyvalue.messages import Written
from guavapin.peers.messages import AddPeers
from guavapin.peers.messages import PeerAddress
from guavapin.peers.registration import RegistrationTask

OWN = PeerAddress("a", "east", "127.0.0.1:1")
OTHER = PeerAddress("b", "west", "127.0.0.1:2")


@pytest.fixture
def harness() -> TaskHarness:
    harness = TaskHarness(RegistrationTask(OWN))
    harness.start()
    return harness


def answer(harness: TaskHarness, kind: type, outcome: object) -> list[object]:
    """Answer the last call of a class; return the messages that the task then sends."""
    calls = [item.message for item in harness.take_sent()]
    request = [item for item in calls if isinstance(item, kind)][-1]
    harness._task.handle(Reply(request.request_id, outcome))
    return [item.message for item in harness.sent]


def test_registers_under_a_lease_and_renews_it(harness):
    (put,) = answer(harness, LeaseGrant, Leased("l1", 10_000))
    assert isinstance(put, Put) and put.lease_id == "l1" and put.key == "entry/a"
    # The record of a predecessor with the same name is replaced.
    (put,) = answer(harness, Put, Conflict(7))
    assert put.expected == 7
    answer(harness, Put, Written(8))
    harness.advance(3_000)
    answer(harness, LeaseRenew, Leased("l1", 10_000))
    harness.advance(3_000)
    assert any(isinstance(item.message, LeaseRenew) for item in harness.sent)


@pytest.mark.parametrize("outcome", [Missing(), Unknown("x"), NotSent("x")])
def test_lost_lease_is_requested_again_and_failed_renewal_is_retried(harness, outcome):
    answer(harness, LeaseGrant, Leased("l1", 10_000))
    answer(harness, Put, Written(8))
    harness.advance(3_000)
    answer(harness, LeaseRenew, outcome)
    harness.take_sent()
    harness.advance(2_000)
    expected = LeaseGrant if isinstance(outcome, Missing) else LeaseRenew
    assert any(isinstance(item.message, expected) for item in harness.sent)


def test_records_of_others_are_read_once_per_revision(harness):
    keys = (KeyRevision("entry/a", 1), KeyRevision("entry/b", 2))
    (get,) = answer(harness, ListPrefix, Listed(keys, 2))
    assert isinstance(get, Get) and get.key == "entry/b"
    sent = answer(harness, Get, Found(msgspec.json.encode(OTHER), 2))
    assert sent == [AddPeers((OTHER,))]
    harness.take_sent()
    harness.advance(40_000)
    assert answer(harness, ListPrefix, Listed(keys, 2)) == []


def test_record_that_vanished_is_written_again(harness):
    # Another process of the same name took over the record and then ended.
    answer(harness, LeaseGrant, Leased("l1", 10_000))
    answer(harness, Put, Written(8))
    harness.take_sent()
    harness.advance(40_000)
    answer(harness, ListPrefix, Listed((), 9))
    harness._task._renew()
    answer(harness, LeaseGrant, Leased("l2", 10_000))
    assert isinstance(harness.sent[-1].message, Put)


@pytest.mark.parametrize("value", [b"", b"{}", msgspec.json.encode(OWN)])
def test_malformed_or_foreign_record_is_ignored(harness, value):
    answer(harness, ListPrefix, Listed((KeyRevision("entry/b", 2),), 2))
    assert answer(harness, Get, Found(value, 2)) == []


def test_stop_revokes_the_lease(harness):
    answer(harness, LeaseGrant, Leased("l1", 10_000))
    harness._task.stop()
    assert isinstance(harness.sent[-1].message, LeaseRevoke)
