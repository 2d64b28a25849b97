"""A scenario as read from its script."""

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
    """Callers' requests: a planned demand, single requests, or both.

    Times of the single requests count from the start of the load.
    """

    name: str
    plan: DemandPlan | None = None
    requests: tuple[PlannedRequest, ...] = ()


@dataclass(frozen=True, slots=True)
class TimedStep:
    """A step; it begins at `at_ms` after the start, once the step before has ended."""

    at_ms: int
    kind: str
    step: Step


@dataclass(frozen=True, slots=True)
class NamedCheck:
    """A check of what must hold at the end, by the words of the script."""

    that: str
    check: Check


@dataclass(frozen=True, slots=True)
class Scenario:
    """One script; `extra_objects` are published with those of the site."""

    file: str
    name: str
    about: str
    site: Site
    extra_objects: ObjectSet
    loads: tuple[Load, ...]
    steps: tuple[TimedStep, ...]
    checks: tuple[NamedCheck, ...]
