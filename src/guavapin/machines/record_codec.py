"""Encoding of the records of ordered machines and of waves as values in the store."""

from __future__ import annotations

import msgspec

from guavapin.kernel.decimal import parse_decimal
from guavapin.machines.model import WaveMachine
from guavapin.machines.order_record import RecordedOrders


class _Ordered(msgspec.Struct, omit_defaults=True):
    machines: list[str]
    unsettled: list[str] = []
    # Pairs of wave and machine. Earlier builds neither write nor read them.
    open_maintenance: list[tuple[int, str]] = []


# Earlier builds wrote the list of machines alone.
_DECODER = msgspec.json.Decoder(_Ordered | list[str])


def encode_ordered(orders: RecordedOrders) -> bytes:
    """Return the value for recorded orders; equal ones have equal values."""
    return msgspec.json.encode(
        _Ordered(
            sorted(orders.machines),
            sorted(orders.unsettled),
            [(item.wave, item.machine) for item in sorted(orders.open_maintenance)],
        )
    )


def decode_ordered(value: bytes) -> RecordedOrders | None:
    """Return the recorded orders, None for a value that cannot be read."""
    try:
        stored = _DECODER.decode(value)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    if isinstance(stored, list):
        return RecordedOrders(frozenset(stored))
    return RecordedOrders(
        frozenset(stored.machines),
        frozenset(stored.unsettled),
        frozenset(WaveMachine(*pair) for pair in stored.open_maintenance),
    )


def encode_due(due_wall_ms: int) -> bytes:
    """Return the value for a time in milliseconds since the Unix epoch."""
    return str(due_wall_ms).encode()


def decode_due(value: bytes) -> int | None:
    """Return the time in milliseconds since the Unix epoch, None if unreadable."""
    return parse_decimal(value.decode("ascii", errors="replace"))
