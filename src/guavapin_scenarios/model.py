"""The parts of a scenario, as the reader builds them from a script."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.objects.model import ObjectSet
    from guavapin_demo.demand import DemandPlan
    from guavapin_demo.demand import PlannedRequest
    from guavapin_demo.sites import Site
    from guavapin_scenarios.protocols import Check
    from guavapin_scenarios.protocols import Step


@dataclass(frozen=True, slots=True)
class Load:
    """Requests of callers: a demand plan, single requests, or both.

    The times of the single requests count from the start of the load.
    """

    name: str
    plan: DemandPlan | None = None
    requests: tuple[PlannedRequest, ...] = ()


@dataclass(frozen=True, slots=True)
class TimedStep:
    """A step and its start: `at_ms` after the first, and after the previous step."""

    at_ms: int
    kind: str
    step: Step


@dataclass(frozen=True, slots=True)
class NamedCheck:
    """A check at the end of the run; `that` is its name in the script."""

    that: str
    check: Check


@dataclass(frozen=True, slots=True)
class Scenario:
    """One script; `extra_objects` are published together with the site's objects."""

    file: str
    name: str
    about: str
    site: Site
    extra_objects: ObjectSet
    loads: tuple[Load, ...]
    steps: tuple[TimedStep, ...]
    checks: tuple[NamedCheck, ...]
