"""Messages between the `platform` task and the readers of long answers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LongAnswer:
    """From ``platform``: a long answer to the request `request_id` is arriving."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Abandon:
    """To ``platform``: end a read of items, whose answer is not needed any more.

    It is answered with `Unknown`. Nothing is done if it is not in flight.
    """

    reply_to: str
    request_id: int
