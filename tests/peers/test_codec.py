from __future__ import annotations

import typing

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.peers.codec import MAX_MESSAGE_BYTES
from guavapin.peers.codec import Envelope
from guavapin.peers.codec import decode
from guavapin.peers.codec import encode
from guavapin.peers.messages import ChunkAnswer
from guavapin.peers.messages import Heartbeat
from guavapin.peers.messages import KnownPeers
from guavapin.peers.messages import PeerAddress
from guavapin.peers.messages import PeerBody

BODIES = typing.get_args(PeerBody)


@settings(derandomize=True, max_examples=200)
@given(st.one_of([st.from_type(cls) for cls in BODIES]))
def test_every_message_survives(message):
    encoded = encode("matane-e1", message)
    if isinstance(encoded, Ok):
        assert decode(encoded.value) == Ok(Envelope("matane-e1", message))


def test_heartbeat_is_small():
    # At 32 peers and 2 heartbeats a second, 14 KB/s per node allow 200 bytes.
    beat = Heartbeat(2**41, "zone-1", 1, "10.100.100.100:10000", 10**6, 10**9, True)
    encoded = encode("entry-host-000001", beat)
    assert isinstance(encoded, Ok) and len(encoded.value) <= 200


def test_oversized_message_is_refused_in_both_directions():
    big = encode("a", ChunkAnswer("d", bytes(MAX_MESSAGE_BYTES)))
    assert isinstance(big, Refused) and big.reason is Reason.TOO_LARGE
    assert isinstance(decode(bytes(MAX_MESSAGE_BYTES + 1)), Refused)


@settings(derandomize=True, max_examples=500)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_never_raise(data):
    assert isinstance(decode(data), Refused)


@settings(derandomize=True, max_examples=300)
@given(st.data())
def test_damaged_message_never_raises(data):
    peers = KnownPeers((PeerAddress("b", "z", "127.0.0.1:1"),))
    encoded = encode("a", peers)
    assert isinstance(encoded, Ok)
    damaged = bytearray(encoded.value)
    place = data.draw(st.integers(0, len(damaged) - 1))
    damaged[place] = data.draw(st.integers(0, 255))
    assert isinstance(decode(bytes(damaged)), Ok | Refused)


@pytest.mark.parametrize(
    "envelope",
    [
        (2, "a", "Leaving", [1]),
        (1, "", "Leaving", [1]),
        (1, "a" * 64, "Leaving", [1]),
        (1, "a", "SendToPeer", ["b", None]),
        (1, "a", "Leaving", []),
        (1, "a", "Leaving", [1, 2]),
        (1, "a", "Leaving", ["1"]),
    ],
    ids=str,
)
def test_wrong_envelope_is_refused(envelope):
    assert isinstance(decode(msgspec.msgpack.encode(envelope)), Refused)
