"""The interfaces of steps, conditions and checks, and the evidence for the checks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavapin.fleet.state import FleetState
    from guavapin.kernel import Outcome
    from guavapin.objects.model import ObjectSet
    from guavapin_demo.callers import CallerRecord
    from guavapin_scenarios.scenario_run import ScenarioRun
    from guavapin_standins.upstream_messages import Record


class Step(Protocol):
    """An injected fault, an operator's action, or a wait for a condition."""

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Perform the step; return its description, or `Refused` if it failed."""
        ...


class Condition(Protocol):
    """A state of the site that is visible from outside."""

    def holds(self, run: ScenarioRun) -> bool:
        """Return whether the site is in this state now."""
        ...


@dataclass(frozen=True, slots=True)
class Evidence:
    """Everything that was observed from outside during a run.

    `answers` holds the callers' records by load, `records` the upstreams' by host.
    `fleet_history` and `generations` hold every value that the platform stored, in
    order. `platform_audit` holds the sequence numbers of the archived audit entries.
    `reverted` describes each entry process that returned to an older generation,
    `cut_off` each planned reboot that interrupted requests.
    """

    objects: ObjectSet
    answers: Mapping[str, tuple[CallerRecord, ...]]
    records: Mapping[str, Record]
    fleet_history: tuple[FleetState, ...]
    generations: tuple[int, ...]
    platform_audit: frozenset[int]
    reverted: tuple[str, ...]
    cut_off: tuple[str, ...]

    @property
    def all_answers(self) -> tuple[CallerRecord, ...]:
        """Return the records of all loads."""
        return tuple(item for records in self.answers.values() for item in records)


class Check(Protocol):
    """A property that must hold at the end of a run."""

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return a description of each violation; empty if the check passes."""
        ...
