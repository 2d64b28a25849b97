"""State of one service: run times, retry budget and teams."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.limits.quota import divide_quota
from guavapin.limits.quota import full_bucket
from guavapin.limits.quota import take_token
from guavapin.retries.budget import RetryBudget
from guavapin.retries.budget import earn
from guavapin.retries.budget import spend
from guavapin.routing.run_time import RunTimeEstimator

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.limits.quota import Bucket
    from guavapin.limits.quota import SeatQuota
    from guavapin.objects.model import Service
    from guavapin.objects.model import TeamQuota
    from guavapin.retries.budget import RetryBudgetSettings


@dataclass(frozen=True, slots=True)
class TeamState:
    """Tokens and number of admitted requests of one team with a quota."""

    quota: SeatQuota
    bucket: Bucket
    admitted: int = 0


class ServiceState:
    """State of one service at this seat, owned by the task `exchanges`."""

    def __init__(self, service: Service, budget: RetryBudgetSettings) -> None:
        self.service = service
        self.run_times = RunTimeEstimator(service.expected_run_ms)
        self._budget = RetryBudget()
        self._budget_settings = budget
        self._teams: dict[str, TeamState] = {}

    def configure(
        self,
        service: Service,
        quotas: Iterable[TeamQuota],
        seats: int,
        seat: int,
        now_ms: int,
    ) -> None:
        """Apply a configuration; teams that remain keep their buckets and counts."""
        self.service = service
        self.run_times.set_declared(service.expected_run_ms)
        teams = {}
        for quota in quotas:
            seat_quota = divide_quota(quota, seats, seat)
            state = self._teams.get(quota.team)
            if state is None:
                state = TeamState(seat_quota, full_bucket(seat_quota, now_ms))
            teams[quota.team] = replace(state, quota=seat_quota)
        self._teams = teams

    def take_token(self, team: str, now_ms: int) -> int:
        """Take a token for a request; returns the wait in ms, 0 if it is granted."""
        state = self._teams.get(team)
        if state is None:
            return 0
        bucket, wait_ms = take_token(state.bucket, state.quota, now_ms)
        self._teams[team] = replace(state, bucket=bucket)
        return wait_ms

    def preview_token(self, team: str, now_ms: int) -> int:
        """Return the wait that `take_token` would, without taking a token."""
        state = self._teams.get(team)
        return 0 if state is None else take_token(state.bucket, state.quota, now_ms)[1]

    def is_team_full(self, team: str) -> bool:
        """Return whether the admitted requests of the team use all of its slots."""
        state = self._teams.get(team)
        if state is None or state.quota.max_slots == 0:
            return False
        return state.admitted >= state.quota.max_slots

    def adjust_admitted(self, team: str, change: int) -> None:
        """Change the number of requests that hold a slot of the team by `change`."""
        state = self._teams.get(team)
        if state is not None:
            admitted = max(state.admitted + change, 0)
            self._teams[team] = replace(state, admitted=admitted)

    def earn_retry_budget(self) -> None:
        """Add a request's share of a retry to the retry budget."""
        self._budget = earn(self._budget, self._budget_settings)

    def spend_retry(self) -> bool:
        """Take one retry from the budget; returns False if the budget is used up."""
        self._budget, granted = spend(self._budget)
        return granted
