"""Messages between `exchanges` and other services of the process."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GetSupply:
    """As a `Call`: the reply maps pool to `PoolSupply`."""


@dataclass(frozen=True, slots=True)
class PoolSupply:
    """What this seat has of a pool in its own zone."""

    usable: int
    total_slots: int
    running: int
    waiting: int

    @property
    def free_slots(self) -> int:
        """Slots that another zone's requests could use now."""
        return max(self.total_slots - self.running - self.waiting, 0)


@dataclass(frozen=True, slots=True)
class EndHoldOff:
    """No former process of this seat can have requests or loans in use any more."""


@dataclass(frozen=True, slots=True)
class AwaitLoansReturned:
    """As a `Call`: lend nothing more; the reply comes when nothing is lent out."""
