"""What varies between scenarios: steps, states to wait for, checks at the end."""

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
    """A fault, an action of an operator, or a state to wait for."""

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Carry the step out; what it saw, or `Refused` when it cannot be done."""
        ...


class Condition(Protocol):
    """A state that can be seen from outside."""

    def holds(self, run: ScenarioRun) -> bool:
        """Return whether the state has come."""
        ...


@dataclass(frozen=True, slots=True)
class Evidence:
    """What was seen from outside during a run.

    `answers` are the callers' records by load, `records` the upstreams' by host.
    `fleet_history` and `generations` follow every value that the platform held.
    `platform_audit` are the sequences of the archived entries. `reverted` names
    entry processes that were seen to fall back in their generation, `cut_off` the
    runs that planned reboots ended.
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
    """Something that must hold at the end."""

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return what does not hold; empty if all does."""
        ...
