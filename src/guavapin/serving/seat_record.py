"""The record of an entry seat: whether its last process let go of its slots; pure.

A seat that starts must not use its share while requests of a former process may still
run on it, so without knowledge it waits for the hold-off. The record saves the wait
when the former process ended its requests and had nothing on loan.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused

SEAT_PREFIX = "seat/"


@dataclass(frozen=True, slots=True)
class SeatRecord:
    """Who holds a seat.

    `is_clean` tells whether this holder found the seat free, so that the answer of a
    lost write can be read back; `is_released` that it has let go of all slots.
    """

    name: str
    incarnation: int
    is_clean: bool
    is_released: bool = False


def seat_key(zone: str, seat: int) -> str:
    """Return the platform's key of a seat."""
    return f"{SEAT_PREFIX}{zone}/{seat}"


def acquire_seat(
    predecessor: SeatRecord | None, name: str, incarnation: int
) -> SeatRecord:
    """Return the record of a new holder; a seat without record was never held."""
    is_clean = predecessor is None or predecessor.is_released
    return SeatRecord(name, incarnation, is_clean)


def encode_seat(record: SeatRecord) -> bytes:
    """Return the record as JSON."""
    return msgspec.json.encode(record)


def decode_seat(value: bytes) -> Outcome[SeatRecord]:
    """Return the record in `value`, or `Refused(BAD_INPUT)`."""
    try:
        return Ok(msgspec.json.decode(value, type=SeatRecord))
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Refused(Reason.BAD_INPUT, f"seat record is malformed: {exc}")
