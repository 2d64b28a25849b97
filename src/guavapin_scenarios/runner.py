"""Runs a scenario and reports on its steps, checks and answers."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel import Refused
from guavapin_demo.callers import Result
from guavapin_scenarios.scenario_run import ScenarioRun
from guavapin_scenarios.site import ScenarioSite

if TYPE_CHECKING:
    from pathlib import Path

    from guavapin_scenarios.model import Scenario
    from guavapin_scenarios.protocols import Evidence


MAX_SHOWN_REASONS = 5


@dataclass(frozen=True, slots=True)
class StepReport:
    """The start of one step, its description or error, and whether it succeeded."""

    at_ms: int
    step: str
    detail: str
    is_ok: bool


@dataclass(frozen=True, slots=True)
class CheckReport:
    """The result of one check; it passed if `faults` is empty."""

    that: str
    faults: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Report:
    """The result of one run.

    `answers` counts the answers by result, and the most frequent reasons of those that
    were not whole. `failure` names the processes that ended by a broken invariant.
    """

    file: str
    name: str
    seed: int
    steps: tuple[StepReport, ...]
    checks: tuple[CheckReport, ...]
    answers: dict[str, int]
    elapsed_ms: int
    failure: str = ""

    @property
    def is_ok(self) -> bool:
        """Return whether all steps and checks passed and no process failed."""
        return (
            not self.failure
            and all(step.is_ok for step in self.steps)
            and not any(check.faults for check in self.checks)
        )


def run_scenario(scenario: Scenario, seed: int, folder: Path) -> Report:
    """Run a scenario on a new site; a failed step skips the steps after it."""
    started = time.monotonic()
    steps: list[StepReport] = []
    checks: tuple[CheckReport, ...] = ()
    answers: dict[str, int] = {}
    failure = ""
    site = ScenarioSite(scenario.site, folder)
    with site, ScenarioRun(scenario, site, seed) as run:
        _perform_steps(run, steps)
        run.site.resume_controls()
        evidence = run.collect_evidence()
        checks = tuple(
            CheckReport(item.that, item.check.find_violations(evidence))
            for item in scenario.checks
        )
        answers = _count_answers(evidence)
        failure = _failed_processes(site)
    elapsed_ms = round((time.monotonic() - started) * 1_000)
    return Report(
        scenario.file,
        scenario.name,
        seed,
        tuple(steps),
        checks,
        answers,
        elapsed_ms,
        failure,
    )


def _perform_steps(run: ScenarioRun, reports: list[StepReport]) -> None:
    started = time.monotonic()

    def elapsed_ms() -> int:
        return round((time.monotonic() - started) * 1_000)

    for item in run.scenario.steps:
        wait_ms = item.at_ms - elapsed_ms()
        if wait_ms > 0:
            run.wait_until(lambda: False, wait_ms)
        at_ms = elapsed_ms()
        outcome = item.step.perform(run)
        is_ok = not isinstance(outcome, Refused)
        detail = str(outcome) if isinstance(outcome, Refused) else outcome.value
        reports.append(StepReport(at_ms, item.kind, detail, is_ok))
        if not is_ok:
            return


def _count_answers(evidence: Evidence) -> dict[str, int]:
    """Count the answers by result, and those that are not whole also by their text."""
    counts = Counter(item.result.value for item in evidence.all_answers)
    reasons = Counter(
        f"({item.result.value}: {' '.join(item.detail.split())})"
        for item in evidence.all_answers
        if item.result is not Result.WHOLE
    )
    return {
        **dict(sorted(counts.items())),
        **dict(reasons.most_common(MAX_SHOWN_REASONS)),
    }


def _failed_processes(site: ScenarioSite) -> str:
    """Return the processes that ended by a broken invariant, with the error."""
    kernels = [(f"entry {name}", item.kernel) for name, item in site.entries.items()]
    kernels += [
        (f"control {name}", item.kernel) for name, item in site.controls.items()
    ]
    failed = [
        f"{name}: {kernel.failure!r}"
        for name, kernel in kernels
        if kernel.failure is not None
    ]
    return "; ".join(failed)
