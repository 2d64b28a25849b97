"""Which requests hold one of their team's slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.limits.queue import WaitQueue
    from guavapin.serving.exchange import Exchange
    from guavapin.serving.exchange_router import ExchangeRouter


class TeamSlots:
    """Holds slots of teams from admission to the end of a request.

    A request beyond its team's slots is parked in the queue. A part of the task
    `exchanges`.
    """

    def __init__(self, router: ExchangeRouter) -> None:
        self._router = router
        self._holders: dict[int, tuple[str, str]] = {}

    def is_full(self, exchange: Exchange) -> bool:
        """Tell whether the request has to be parked."""
        return self._router.services[exchange.request.service.name].is_team_full(
            exchange.request.team
        )

    def acquire(self, request_id: int, service: str, team: str) -> None:
        """Count a request that may start."""
        self._router.services[service].adjust_admitted(team, 1)
        self._holders[request_id] = (service, team)

    def release(self, request_id: int, queue: WaitQueue) -> None:
        """Count a request that has ended, and let a parked one of its team go on."""
        held = self._holders.pop(request_id, None)
        if held is None:
            return
        service, team = held
        self._router.services[service].adjust_admitted(team, -1)
        waiting = queue.unpark(service, team)
        if waiting is not None:
            self.acquire(waiting.request_id, service, team)
