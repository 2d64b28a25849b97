"""Records of ordered machines and of waves that cannot be read."""

from __future__ import annotations

import pytest

from guavapin.machines.model import WaveMachine
from guavapin.machines.order_record import RecordedOrders
from guavapin.machines.record_codec import decode_due
from guavapin.machines.record_codec import decode_ordered
from guavapin.machines.record_codec import encode_due
from guavapin.machines.record_codec import encode_ordered


@pytest.mark.parametrize("value", [b"9" * 5_000, b"", b"-1", b"1.5", b"\xff", b"\xb2"])
def test_a_malformed_time_of_a_wave_is_unreadable(value: bytes) -> None:
    # Guards against a stored time that ends each process that schedules: int raises for
    # more than 4,300 digits.
    assert decode_due(value) is None
    assert decode_due(encode_due(1_700_000_000_000)) == 1_700_000_000_000


@pytest.mark.parametrize("value", [b"[" * 500_000, b'["\xff"]', b'"a"', b""])
def test_a_malformed_record_of_ordered_machines_is_unreadable(value: bytes) -> None:
    # Guards against a stored list that ends each process that schedules.
    assert decode_ordered(value) is None


def test_recorded_orders_are_decoded_as_they_were_encoded() -> None:
    # Guards against a refused order that a successor takes for one carried out, and
    # against a record of an earlier build that cannot be read.
    items = frozenset({WaveMachine(2, "n"), WaveMachine(1, "o")})
    orders = RecordedOrders(frozenset({"m", "n"}), frozenset({"n"}), items)
    assert decode_ordered(encode_ordered(orders)) == orders
    assert decode_ordered(b'["m"]') == RecordedOrders(frozenset({"m"}))
    assert decode_ordered(b'{"machines":["m"]}') == RecordedOrders(frozenset({"m"}))
