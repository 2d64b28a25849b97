"""The record of an entry seat, which shows whether its slots were released; pure.

A starting process must not use the share of its seat while requests of the previous
process may still run on it, so by default it waits for the hold-off. The record makes
the wait unnecessary if the previous process ended its requests and had no loans.
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
    """Holder of a seat.

    `is_clean` is set if the seat was free when this holder acquired it; it is stored so
    that it can be read back if the answer to the write is lost. `is_released` is set
    when the holder has released all slots.
    """

    name: str
    incarnation: int
    is_clean: bool
    is_released: bool = False


def seat_key(zone: str, seat: int) -> str:
    """Return the key of a seat's record at the platform."""
    return f"{SEAT_PREFIX}{zone}/{seat}"


def acquire_seat(
    predecessor: SeatRecord | None, name: str, incarnation: int
) -> SeatRecord:
    """Return the record of a new holder; a seat without a record was never held."""
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
