"""Checks of what callers got against what the upstreams ran."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.objects.fields import ChoiceRule
from guavapin.objects.fields import IntegerRule
from guavapin.objects.fields import NameRule
from guavapin.objects.fields import NumberRule
from guavapin_demo.callers import Result
from guavapin_scenarios.kinds import StepKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin_scenarios.protocols import Evidence

SHOWN = 5
_RESULTS = {result.name.lower().replace("_", "-"): result for result in Result}


@dataclass(frozen=True, slots=True)
class OwnAnswers:
    """No caller gets another request's answer, nor a part of its own as whole."""

    def faults(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the wrong answers."""
        return _shown(
            f"{item.request.identity} got a wrong answer: {item.detail}"
            for item in evidence.all_answers
            if item.result is Result.WRONG
        )


@dataclass(frozen=True, slots=True)
class NotRunDidNotRun:
    """A request that was refused as not run did not run."""

    def faults(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the refused requests that an upstream counted."""
        ran = _runs_by_identity(evidence)
        return _shown(
            f"{item.request.identity} was refused as not run and ran "
            f"{ran[item.request.identity]} times: {item.detail}"
            for item in evidence.all_answers
            if item.result is Result.NOT_RUN and ran[item.request.identity]
        )


@dataclass(frozen=True, slots=True)
class KeysRunOnce:
    """A non-idempotent request runs at most once by its key; an answered one ran."""

    def faults(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the keys that ran twice, and those answered without a run."""
        runs = Counter(
            run.idempotency_key
            for record in evidence.records.values()
            for run in record.runs
            if run.idempotency_key
        )
        answered = {
            item.request.idempotency_key
            for item in evidence.all_answers
            if item.result is Result.WHOLE and item.request.idempotency_key
        }
        return _shown(
            [f"{key} ran {count} times" for key, count in runs.items() if count > 1]
            + [f"{key} was answered and never ran" for key in answered - runs.keys()]
        )


@dataclass(frozen=True, slots=True)
class AnsweredRan:
    """A request that was answered whole ran at an upstream."""

    def faults(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the answers without a run."""
        ran = _runs_by_identity(evidence)
        return _shown(
            f"{item.request.identity} was answered and never ran"
            for item in evidence.all_answers
            if item.result is Result.WHOLE
            and not item.request.idempotency_key
            and not ran[item.request.identity]
        )


@dataclass(frozen=True, slots=True)
class LimitsKept:
    """No upstream ran more than its slots or had more than its connections."""

    def faults(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the upstreams with violations."""
        return tuple(
            f"{host}: {record.violations} violations, {record.highest_running} at once"
            for host, record in evidence.records.items()
            if record.violations
        )


@dataclass(frozen=True, slots=True)
class ResultCount:
    """The answers of one kind, of one load or all, are within bounds."""

    result: str
    load: str = ""
    least: int = 0
    most: int = 1_000_000
    least_share: float = 0.0

    def faults(self, evidence: Evidence) -> tuple[str, ...]:
        """Count them."""
        answers = evidence.answers[self.load] if self.load else evidence.all_answers
        counts = Counter(item.result for item in answers)
        count = counts[_RESULTS[self.result]]
        least = max(self.least, self.least_share * len(answers))
        if least <= count <= self.most:
            return ()
        others = {result.name: number for result, number in counts.items()}
        detail = f"{count} of {len(answers)} answers are {self.result}: {others}"
        examples = [
            f"{item.request.identity}: {item.result.name} {item.detail}"
            for item in answers
            if item.result is not Result.WHOLE
        ]
        return (f"{detail}; expected {least:g} to {self.most}", *examples[:SHOWN])


@dataclass(frozen=True, slots=True)
class Abandoned:
    """Upstreams saw at least `least` connections end while they ran."""

    least: int

    def faults(self, evidence: Evidence) -> tuple[str, ...]:
        """Sum the upstreams' counts."""
        count = sum(record.abandoned for record in evidence.records.values())
        if count >= self.least:
            return ()
        return (f"{count} runs were abandoned; expected at least {self.least}",)


def _runs_by_identity(evidence: Evidence) -> Counter[str]:
    total: Counter[str] = Counter()
    for record in evidence.records.values():
        total.update(record.count_by_identity())
    return total


def _shown(found: Iterable[str]) -> tuple[str, ...]:
    """Return the first few; the rest is counted."""
    faults = tuple(found)
    if len(faults) <= SHOWN:
        return faults
    return (*faults[:SHOWN], f"and {len(faults) - SHOWN} more")


_COUNT = IntegerRule(0, 1_000_000)

ANSWER_CHECKS = {
    "every answer is the caller's own": StepKind(OwnAnswers),
    "what was refused as not run did not run": StepKind(NotRunDidNotRun),
    "keyed requests ran at most once": StepKind(KeysRunOnce),
    "what was answered ran": StepKind(AnsweredRan),
    "limits of the upstreams were kept": StepKind(LimitsKept),
    "answers": StepKind(
        ResultCount,
        {
            "result": ChoiceRule(tuple(_RESULTS)),
            "load": NameRule(),
            "least": _COUNT,
            "most": _COUNT,
            "least_share": NumberRule(0.0, 1.0),
        },
        frozenset({"result"}),
    ),
    "runs were abandoned": StepKind(Abandoned, {"least": _COUNT}, frozenset({"least"})),
}
