"""Input from outside that violates its protocol never raises."""

from __future__ import annotations

from concurrent.futures import Future
from urllib.parse import quote

import msgspec
import pytest
from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from werkzeug.test import Client

from guavapin.fleet.messages import LeavingRelayed
from guavapin.fleet.relay import LEAVING_TOPIC
from guavapin.fleet.relay import FleetRelayConfig
from guavapin.fleet.relay import FleetRelayTask
from guavapin.kernel import ManualClock
from guavapin.kernel import Ok
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import KeyRevision
from guavapin.keyvalue.messages import Listed
from guavapin.keyvalue.messages import ListPrefix
from guavapin.keyvalue.messages import Reply
from guavapin.limits.slots import LoanRequest
from guavapin.metrics.metrics import Metrics
from guavapin.operators.access import AccessPolicy
from guavapin.operators.access import load_tokens
from guavapin.operators.app import OperatorsApp
from guavapin.operators.routes import build_routes
from guavapin.peers.messages import PeerAddress
from guavapin.peers.messages import PeerMessage
from guavapin.peers.messages import Relay
from guavapin.peers.registration import RegistrationTask
from guavapin.serving.exchange_headers import announced_length
from guavapin.serving.exchange_headers import read_head
from guavapin.serving.exchange_relay import TOPIC
from guavapin.serving.exchange_relay import decode_relay
from guavapin.serving.exchange_relay import encode_relay
from guavapin.serving.hop_headers import end_to_end
from guavapin.serving.request_parser import ParseFault
from guavapin.serving.request_parser import ParserLimits
from guavapin.serving.request_parser import RequestParser
from guavapin.serving.seat_record import decode_seat
from guavapin.settings.parts import NodeSettings

TOKEN = "0123456789abcdef"
FIXED = settings(derandomize=True, max_examples=400, deadline=None)
DEEP = b"\x91" * 500_000

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)
REQUEST_PARTS = st.sampled_from(
    [
        b"GET / HTTP/1.1\r\n",
        b"POST http://a/b HTTP/1.1\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        b"Host: a\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: 99999999999999999999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: upgrade\r\nUpgrade: x\r\n",
        b"Expect: 100-continue\r\n",
        b"\r\n",
        b"3\r\nabc\r\n",
        b"ffffffffffffffff\r\n",
        b"0\r\n\r\n",
        b"\x00",
        b"\xff\xfe",
    ]
)


@FIXED
@given(st.binary(max_size=200))
def test_arbitrary_relays_and_seat_records_never_raise(data):
    # Guards against a peer or a platform value that ends the process.
    decode_relay(Relay(TOPIC, data))
    assert isinstance(decode_seat(data), Refused)


@FIXED
@given(VALUES, st.sampled_from(["request", "grant", "return", "leaving", "supply"]))
def test_relays_and_seat_records_with_other_values_never_raise(value, name):
    decode_relay(Relay(TOPIC, msgspec.msgpack.encode([name, value])))
    assert isinstance(decode_seat(msgspec.json.encode(value)), Ok | Refused)


@FIXED
@given(st.integers(0, 500), st.binary(min_size=1, max_size=3))
def test_damaged_relays_never_raise(position, noise):
    body = encode_relay(LoanRequest("h1", 1, 2, 3, 4)).body
    at = position % len(body)
    decode_relay(Relay(TOPIC, body[:at] + noise + body[at + len(noise) :]))


def test_deep_nesting_never_raises():
    # Guards against a value that exhausts the decoder's recursion.
    assert decode_relay(Relay(TOPIC, DEEP)) is None
    assert isinstance(decode_seat(b"[" * 500_000), Refused)
    assert relayed_leaving(DEEP) == []


def test_deep_nesting_in_a_relay_never_raises():
    # Guards against a message of a peer that ends the process.
    assert decode_relay(Relay(TOPIC, b"\x92\xa6supply" + DEEP)) is None


def relayed_leaving(data):
    task = FleetRelayTask(FleetRelayConfig("e0", "east", 0))
    harness = TaskHarness(task)
    harness.start()
    task.handle(PeerMessage("e1", Relay(LEAVING_TOPIC, data)))
    return [s for s in harness.sent if isinstance(s.message, LeavingRelayed)]


@FIXED
@given(st.binary(max_size=100) | VALUES.map(msgspec.msgpack.encode))
def test_arbitrary_lists_of_leaving_hosts_never_raise(data):
    for sent in relayed_leaving(data):
        assert all(isinstance(host, str) for host in sent.message.hosts)


@FIXED
@given(st.binary(max_size=100) | VALUES.map(msgspec.json.encode))
def test_arbitrary_entry_records_never_raise(data):
    task = RegistrationTask(PeerAddress("e0", "east", "127.0.0.1:1"))
    harness = TaskHarness(task)
    harness.start()
    for cls, outcome in (
        (ListPrefix, Listed((KeyRevision("entry/e1", 5),), 5)),
        (Get, Found(data, 5)),
    ):
        requests = [s.message for s in harness.sent if isinstance(s.message, cls)]
        task.handle(Reply(requests[-1].request_id, outcome))
    assert task.counters["malformed_records"] == 1


@FIXED
@given(st.lists(REQUEST_PARTS | st.binary(max_size=40), max_size=12), st.booleans())
def test_arbitrary_bytes_of_callers_never_raise(parts, is_whole):
    parser = RequestParser(ParserLimits(1_024))
    for data in [b"".join(parts)] if is_whole else parts:
        parser.feed(data)
    faults = [event for event in parser.events if isinstance(event, ParseFault)]
    assert len(faults) <= 1
    assert not faults or parser.events[-1] is faults[0]


@FIXED
@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [
                    b"guavapin-team",
                    b"guavapin-priority",
                    b"guavapin-deadline-ms",
                    b"guavapin-hops",
                    b"idempotency-key",
                    b"content-length",
                    b"connection",
                ]
            )
            | st.binary(max_size=10),
            st.binary(max_size=20) | st.integers().map(lambda n: b"%d" % n),
        ),
        max_size=8,
    ).map(tuple)
)
def test_arbitrary_headers_never_raise(headers):
    head = read_head(headers)
    assert head.deadline_ms >= 0 and head.hops >= 0
    announced_length(headers)
    end_to_end(headers)


class RefusingServiceClient:
    """Refuses every call, like an entry host that cannot reach the platform."""

    def ask(self, service, message):
        fut = Future()
        fut.set_result(Refused(Reason.UNREACHABLE, service))
        return fut


@pytest.fixture(scope="module")
def operators():
    node = NodeSettings("e0", "east", 0)
    routes = build_routes(RefusingServiceClient(), node, ManualClock(0))
    access = AccessPolicy((("ana", TOKEN),))
    return Client(OperatorsApp(routes, access, Metrics(), lambda: True))


BODIES = st.binary(max_size=200) | VALUES.map(msgspec.json.encode)


@FIXED
@given(
    body=BODIES
    | st.builds(
        lambda objects, extra: msgspec.json.encode(
            {"base_generation": 0, "generation": 1, "objects": objects, "reason": extra}
        ),
        st.text(max_size=60),
        st.text(max_size=10) | VALUES,
    ),
    path=st.sampled_from(
        ["publish", "rollback", "hosts/h1/drain", "hosts/h1/move", "waves/w/start"]
    ),
)
def test_arbitrary_bodies_of_operators_get_an_answer(operators, body, path):
    headers = {"Authorization": f"Bearer {TOKEN}"}
    answer = operators.post(f"/operator/v1/{path}", data=body, headers=headers)
    assert answer.status_code in (400, 422, 503)
    assert "reason" in msgspec.json.decode(answer.data)


@FIXED
@given(
    path=st.text(max_size=20),
    query=st.dictionaries(
        st.sampled_from(["since_ms", "until_ms", "limit", "actor", "x"]),
        st.text(max_size=10) | st.integers().map(str),
    ),
    authorization=st.text(
        st.characters(min_codepoint=32, max_codepoint=255, exclude_characters="\x7f"),
        max_size=20,
    )
    | st.just(f"Bearer {TOKEN}"),
)
def test_arbitrary_paths_queries_and_tokens_get_an_answer(
    operators, path, query, authorization
):
    headers = {"Authorization": authorization}
    for target in ("/operator/v1/audit", f"/operator/v1/explain/host/{quote(path)}"):
        answer = operators.get(target, query_string=query, headers=headers)
        assert answer.status_code in (308, 400, 401, 404, 405, 503)


@settings(
    FIXED,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
    max_examples=200,
)
@given(st.binary(max_size=200))
def test_arbitrary_token_files_never_raise(tmp_path, data):
    path = tmp_path / "tokens"
    path.write_bytes(data)
    assert isinstance(load_tokens(str(path)), Ok | Refused)


def test_number_of_5000_digits_in_a_query_gets_an_answer(operators):
    # Guards against a connection that breaks off instead of a refusal.
    headers = {"Authorization": f"Bearer {TOKEN}"}
    query = {"since_ms": "9" * 5_000}
    answer = operators.get("/operator/v1/audit", query_string=query, headers=headers)
    assert answer.status_code == 400


@pytest.mark.parametrize("path", ["publish", "rollback", "hosts/h1/drain"])
def test_deeply_nested_body_gets_an_answer(operators, path):
    # Guards against a connection that breaks off instead of a refusal.
    headers = {"Authorization": f"Bearer {TOKEN}"}
    body = b'{"x": ' + b"[" * 500_000
    answer = operators.post(f"/operator/v1/{path}", data=body, headers=headers)
    assert answer.status_code == 400
