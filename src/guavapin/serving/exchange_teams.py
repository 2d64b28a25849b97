"""Slots of teams, and the requests that hold them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.limits.queue import WaitQueue
    from guavapin.serving.exchange import Exchange
    from guavapin.serving.exchange_router import ExchangeRouter


class TeamSlots:
    """Counts the slots of teams from the admission of a request to its end.

    A request beyond its team's slots is parked in the queue. The task `exchanges` owns
    the counts.
    """

    def __init__(self, router: ExchangeRouter) -> None:
        self._router = router
        self._holders: dict[int, tuple[str, str]] = {}

    def is_full(self, exchange: Exchange) -> bool:
        """Return whether the team has no free slot, so the request must be parked."""
        return self._router.services[exchange.request.service.name].is_team_full(
            exchange.request.team
        )

    def acquire(self, request_id: int, service: str, team: str) -> None:
        """Occupy a slot of the team for a request that may start."""
        self._router.services[service].adjust_admitted(team, 1)
        self._holders[request_id] = (service, team)

    def release(self, request_id: int, queue: WaitQueue) -> None:
        """Free the slot of a request that has ended, and unpark one of its team."""
        held = self._holders.pop(request_id, None)
        if held is None:
            return
        service, team = held
        self._router.services[service].adjust_admitted(team, -1)
        waiting = queue.unpark(service, team)
        if waiting is not None:
            self.acquire(waiting.request_id, service, team)
