"""Notices that several hosts are lost at once, which stops waves; pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.fleet.state import FleetState

# Losses this close together are counted as one event; the list of hosts lags.
WINDOW_MS = 60_000


@dataclass(frozen=True, slots=True)
class LossHistory:
    """Hosts seen live last, and those lost since, with the time of the loss."""

    live: frozenset[str] = frozenset()
    lost: tuple[tuple[str, int], ...] = ()


def update_losses(
    history: LossHistory, state: FleetState, live: frozenset[str], now_ms: int
) -> LossHistory:
    """Take a new list of live hosts; hosts held by plan are not counted as lost."""
    newly_lost = sorted(
        host
        for host in history.live - live
        if host in state.placements and host not in state.disruptions
    )
    kept = tuple(
        (host, lost_ms)
        for host, lost_ms in history.lost
        if now_ms - lost_ms < WINDOW_MS and host not in live
    )
    return LossHistory(live, kept + tuple((host, now_ms) for host in newly_lost))


def mass_loss_threshold(hosts: int) -> int:
    """Return how many losses within the window stop all waves.

    With 158 losses and restarts a day at 1,100 hosts, four within a minute come by
    chance less than once in 100 days, while losing one rack of four hosts is noticed.
    """
    if hosts < 100:
        return 2
    return 3 if hosts < 400 else 4


def is_mass_loss(history: LossHistory, hosts: int) -> bool:
    """Whether several hosts were lost at once."""
    return len(history.lost) >= mass_loss_threshold(hosts)
