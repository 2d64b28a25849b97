from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.fleet.codec import decode_fleet
from guavapin.fleet.codec import encode_fleet
from guavapin.fleet.state import AuditEntry
from guavapin.fleet.state import Disruption
from guavapin.fleet.state import DisruptionKind
from guavapin.fleet.state import FleetState
from guavapin.fleet.state import HostPhase
from guavapin.fleet.state import WaveProgress
from guavapin.fleet.state import WaveStatus
from guavapin.kernel import Ok
from guavapin.kernel import Reason
from guavapin.kernel import Refused

FULL = FleetState(
    fence=9,
    next_sequence=4,
    placements={"h1": "a", "h2": "b", "h3": "a"},
    disruptions={
        "h1": Disruption(
            "h1", "a", DisruptionKind.MOVE, HostPhase.DRAINING, "eve", 5, "b", ""
        )
    },
    waves={"w": WaveProgress("w", WaveStatus.PAUSED, 3, ("h2",), ("h3",), "why")},
    maintained_ms={"h2": 77},
    outbox=(AuditEntry(3, 8, "eve", "host.drain", "h1", 2, "a", "b", "c", "id"),),
)


def test_every_field_survives_encoding() -> None:
    assert decode_fleet(encode_fleet(FULL)) == Ok(FULL)


def test_order_of_insertion_does_not_change_bytes() -> None:
    """Guards against digests of equal records that differ between processes."""
    swapped = FleetState(placements={"h2": "a", "h1": "a"})
    ordered = FleetState(placements={"h1": "a", "h2": "a"})
    assert encode_fleet(swapped) == encode_fleet(ordered)


def test_record_with_a_host_in_two_pools_is_refused() -> None:
    data = msgspec.msgpack.encode([1, 0, 1, {"a": ["h1"], "b": ["h1"]}, [], [], {}, []])
    assert isinstance(decode_fleet(data), Refused)


def test_unknown_format_is_refused() -> None:
    data = msgspec.msgpack.encode([2, 0, 1, {}, [], [], {}, []])
    outcome = decode_fleet(data)
    assert isinstance(outcome, Refused) and outcome.reason is Reason.BAD_INPUT


@given(st.binary(max_size=300))
@settings(derandomize=True, max_examples=500)
def test_arbitrary_bytes_never_raise(data: bytes) -> None:
    decode_fleet(data)


@given(st.integers(0, 10_000), st.binary(min_size=1, max_size=4))
@settings(derandomize=True, max_examples=500)
def test_damaged_records_never_raise(position: int, noise: bytes) -> None:
    data = encode_fleet(FULL)
    at = position % len(data)
    decode_fleet(data[:at] + noise + data[at + len(noise) :])


JSON = st.recursive(
    st.none() | st.integers(-(2**63), 2**63 - 1) | st.text(max_size=5) | st.binary(),
    lambda inner: st.lists(inner, max_size=9) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


@given(JSON)
@settings(derandomize=True, max_examples=300)
def test_other_msgpack_values_never_raise(value: object) -> None:
    decode_fleet(msgspec.msgpack.encode(value))
