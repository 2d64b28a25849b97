"""The check that combines all guarantees that hold in every scenario."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin_scenarios.checks_answers import AnsweredRequestsRan
from guavapin_scenarios.checks_answers import AnswersMatchRequests
from guavapin_scenarios.checks_answers import KeyedRequestsRunOnce
from guavapin_scenarios.checks_answers import RefusedNeverRan
from guavapin_scenarios.checks_answers import UpstreamLimitsKept
from guavapin_scenarios.checks_fleet import AuditComplete
from guavapin_scenarios.checks_fleet import BudgetsKept
from guavapin_scenarios.checks_fleet import FenceKept
from guavapin_scenarios.checks_fleet import GenerationsIncrease
from guavapin_scenarios.checks_fleet import PlannedStopsGraceful
from guavapin_scenarios.kinds import KindSpec

if TYPE_CHECKING:
    from guavapin_scenarios.protocols import Check
    from guavapin_scenarios.protocols import Evidence

_PARTS: tuple[Check, ...] = (
    AnswersMatchRequests(),
    RefusedNeverRan(),
    KeyedRequestsRunOnce(),
    AnsweredRequestsRan(),
    UpstreamLimitsKept(),
    BudgetsKept(),
    FenceKept(),
    AuditComplete(),
    GenerationsIncrease(),
    PlannedStopsGraceful(),
)


@dataclass(frozen=True, slots=True)
class Guarantees:
    """All guarantees of answers, runs, limits, budgets, duty, audit and generations.

    New work for a leaving upstream is not covered here; the step "expect no new work"
    checks that.
    """

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the violations that the single checks find."""
        return tuple(
            fault for part in _PARTS for fault in part.find_violations(evidence)
        )


GUARANTEES = KindSpec(Guarantees)
