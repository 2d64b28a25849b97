"""Messages between `exchanges` and other services of the process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class GetSupply:
    """Query, sent as a `Call`; the reply maps the name of a pool to `PoolSupply`."""


@dataclass(frozen=True, slots=True)
class PoolSupply:
    """Upstreams, slots and requests of a pool, as this seat has them in its zone."""

    usable: int
    total_slots: int
    running: int
    waiting: int

    @property
    def free_slots(self) -> int:
        """Number of slots that requests of another zone could use now."""
        return max(self.total_slots - self.running - self.waiting, 0)


@dataclass(frozen=True, slots=True)
class ReportSupply:
    """Request a `SupplyReported`, which is sent to the service `reply_to`."""

    reply_to: str


@dataclass(frozen=True, slots=True)
class SupplyReported:
    """Supply of this seat by pool."""

    pools: Mapping[str, PoolSupply]


@dataclass(frozen=True, slots=True)
class EndHoldOff:
    """End the hold-off: no earlier process of the seat has requests or loans in use."""


@dataclass(frozen=True, slots=True)
class AwaitLoansReturned:
    """Stop lending and probing for good, sent as a `Call`.

    The reply is sent once no slot is lent or in use, also for a cancelled attempt.
    """
