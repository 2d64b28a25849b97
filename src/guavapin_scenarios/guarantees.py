"""The checks that hold in every scenario, as one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin_scenarios.checks_answers import AnsweredRan
from guavapin_scenarios.checks_answers import KeysRunOnce
from guavapin_scenarios.checks_answers import LimitsKept
from guavapin_scenarios.checks_answers import NotRunDidNotRun
from guavapin_scenarios.checks_answers import OwnAnswers
from guavapin_scenarios.checks_fleet import AuditComplete
from guavapin_scenarios.checks_fleet import BudgetsHeld
from guavapin_scenarios.checks_fleet import FenceHeld
from guavapin_scenarios.checks_fleet import GenerationsRise
from guavapin_scenarios.checks_fleet import PlannedStopsGraceful
from guavapin_scenarios.kinds import StepKind

if TYPE_CHECKING:
    from guavapin_scenarios.protocols import Check
    from guavapin_scenarios.protocols import Evidence

_PARTS: tuple[Check, ...] = (
    OwnAnswers(),
    NotRunDidNotRun(),
    KeysRunOnce(),
    AnsweredRan(),
    LimitsKept(),
    BudgetsHeld(),
    FenceHeld(),
    AuditComplete(),
    GenerationsRise(),
    PlannedStopsGraceful(),
)


@dataclass(frozen=True, slots=True)
class Guarantees:
    """Own answers, not run, at most once, limits, budgets, duty, audit, generations.

    An upstream that leaves is watched by the step "expect no new work".
    """

    def faults(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the faults of all parts."""
        return tuple(fault for part in _PARTS for fault in part.faults(evidence))


GUARANTEES = StepKind(Guarantees)
