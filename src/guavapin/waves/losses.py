"""Detects that several hosts are lost at once, which stops waves; pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.fleet.state import FleetState

# Losses within this time count as one event, since the list of hosts lags.
LOSS_WINDOW_MS = 60_000


@dataclass(frozen=True, slots=True)
class LossHistory:
    """Hosts in the last live list, and (host, time in ms) of each recent loss."""

    live: frozenset[str] = frozenset()
    lost: tuple[tuple[str, int], ...] = ()


def update_losses(
    history: LossHistory, state: FleetState, live: frozenset[str], now_ms: int
) -> LossHistory:
    """Update with a new list of live hosts.

    Hosts in a planned disruption do not count as lost.
    """
    newly_lost = sorted(
        host
        for host in history.live - live
        if host in state.placements and host not in state.disruptions
    )
    kept = tuple(
        (host, lost_ms)
        for host, lost_ms in history.lost
        if now_ms - lost_ms < LOSS_WINDOW_MS and host not in live
    )
    return LossHistory(live, kept + tuple((host, now_ms) for host in newly_lost))


def mass_loss_threshold(hosts: int) -> int:
    """Return the number of losses within the window that stops all waves.

    A fleet of 1,100 hosts has 158 losses and restarts per day. Four within a minute
    happen by chance less than once in 100 days, and the loss of a rack of four hosts is
    still detected.
    """
    if hosts < 100:
        return 2
    return 3 if hosts < 400 else 4


def is_mass_loss(history: LossHistory, hosts: int) -> bool:
    """Return whether the losses within the window reach this fleet's threshold."""
    return len(history.lost) >= mass_loss_threshold(hosts)
