"""The judge of calls finds each kind of reply that the servers' events contradict."""

from __future__ import annotations

import json

from guavapin.http.messages import Answered
from guavapin.http.messages import Unanswered
from guavapin_soak.call_checks import CallRecord
from guavapin_soak.call_checks import ServerEvent
from guavapin_soak.call_checks import find_violations

NOT_SENT = Unanswered(False, "timeout")
LOST = Unanswered(True, "timeout")
REFUSED = Unanswered(False, "refused", is_refused=True)


def call(*outcomes: Answered | Unanswered, is_new: bool = False) -> CallRecord:
    """Return call 7, made at 100 and ended at 200 us."""
    return CallRecord(7, 0, 100, is_new, outcomes, 200)


def answer(call_id: int = 7, server: str = "s-0") -> Answered:
    return Answered(200, json.dumps({"call": call_id, "server": server}).encode())


def event(at_us: int, kind: str, server: str = "s-0", target: int = 0) -> ServerEvent:
    return ServerEvent(at_us, server, target, kind, 7 if kind == "read" else 0)


def count(record: CallRecord, *events: ServerEvent) -> int:
    return len(find_violations([record], events))


def test_replies_that_agree_with_the_servers_pass() -> None:
    # Guards against a judge that fails a run without a fault.
    assert not count(call(answer()), event(150, "read"))
    assert not count(call(LOST), event(9_000, "read"))
    assert not count(call(LOST))
    assert not count(call(NOT_SENT))


def test_a_call_that_was_not_sent_is_read_at_no_time() -> None:
    # Guards against an order that counts as never sent and is carried out, also late.
    assert count(call(NOT_SENT), event(150, "read")) == 1
    assert count(call(NOT_SENT), event(5_000_000, "read")) == 1


def test_a_call_is_read_once_and_gets_one_reply() -> None:
    # Guards against a request that is transmitted again, and a reply that is lost.
    assert count(call(LOST), event(150, "read"), event(160, "read", "s-1")) == 1
    assert count(call()) == 1
    assert count(call(answer(), LOST), event(150, "read")) == 1


def test_an_answer_is_whole_and_belongs_to_its_call() -> None:
    # Guards against an answer that is left on a connection and taken for the next one.
    assert count(call(answer(call_id=6)), event(150, "read")) == 1
    assert count(call(Answered(200, b"")), event(150, "read")) == 1


def test_a_new_connection_leads_to_a_listener_of_that_moment() -> None:
    # Guards against a former process that answers where its successor was asked.
    was_closed = event(90, "closed")
    assert count(call(answer(), is_new=True), event(150, "read"), was_closed) == 1
    assert not count(call(answer()), event(150, "read"), was_closed)
    # The listener was closed while the call was made.
    closes = event(150, "closed")
    assert not count(call(answer(), is_new=True), event(150, "read"), closes)


def test_a_call_is_refused_only_where_nobody_listens() -> None:
    # Guards against a server that is up and counts as gone.
    opens = event(50, "listening")
    assert count(call(REFUSED), opens) == 1
    assert count(call(REFUSED), opens, event(201, "closing")) == 1
    # Nobody listened for part of the call, or only at another address.
    assert not count(call(REFUSED), opens, event(150, "closing"))
    assert not count(call(REFUSED), opens, event(150, "killed"))
    assert not count(call(REFUSED), event(150, "listening"))
    assert not count(call(REFUSED), event(50, "listening", target=1))
