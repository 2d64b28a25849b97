"""Checks that compare the callers' answers with the runs at the upstreams."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.objects.fields import ChoiceRule
from guavapin.objects.fields import IntegerRule
from guavapin.objects.fields import NameRule
from guavapin.objects.fields import NumberRule
from guavapin_demo.callers import Result
from guavapin_scenarios.kinds import KindSpec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin_scenarios.protocols import Evidence

MAX_SHOWN = 5
_RESULTS = {result.name.lower().replace("_", "-"): result for result in Result}


@dataclass(frozen=True, slots=True)
class AnswersMatchRequests:
    """No caller gets another request's answer, or a partial answer as a whole one."""

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the requests that got a wrong answer."""
        return _truncate(
            f"{item.request.identity} got a wrong answer: {item.detail}"
            for item in evidence.all_answers
            if item.result is Result.WRONG
        )


@dataclass(frozen=True, slots=True)
class RefusedNeverRan:
    """A request that was refused as not run never ran at an upstream."""

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the refused requests that an upstream has run."""
        ran = _runs_by_identity(evidence)
        return _truncate(
            f"{item.request.identity} was refused as not run and ran "
            f"{ran[item.request.identity]} times: {item.detail}"
            for item in evidence.all_answers
            if item.result is Result.NOT_RUN and ran[item.request.identity]
        )


@dataclass(frozen=True, slots=True)
class KeyedRequestsRunOnce:
    """A request with an idempotency key runs at most once; an answered one has run."""

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the keys that ran more than once, and those answered without a run."""
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
        return _truncate(
            [f"{key} ran {count} times" for key, count in runs.items() if count > 1]
            + [f"{key} was answered and never ran" for key in answered - runs.keys()]
        )


@dataclass(frozen=True, slots=True)
class AnsweredRequestsRan:
    """A request without a key that got a whole answer has run at an upstream."""

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the requests that were answered without a run."""
        ran = _runs_by_identity(evidence)
        return _truncate(
            f"{item.request.identity} was answered and never ran"
            for item in evidence.all_answers
            if item.result is Result.WHOLE
            and not item.request.idempotency_key
            and not ran[item.request.identity]
        )


@dataclass(frozen=True, slots=True)
class UpstreamLimitsKept:
    """No upstream exceeded its slots or its connection limit."""

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the upstreams with violations."""
        return tuple(
            f"{host}: {record.violations} violations, {record.highest_running} at once"
            for host, record in evidence.records.items()
            if record.violations
        )


@dataclass(frozen=True, slots=True)
class ResultCount:
    """The number of answers with one result is between `least` and `most`.

    `load` limits the count to one load; without it, all loads count. `least_share` is
    a further lower limit, as a share of the answers.
    """

    result: str
    load: str = ""
    least: int = 0
    most: int = 1_000_000
    least_share: float = 0.0

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the count if it is out of range, and examples of failed requests."""
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
        return (f"{detail}; expected {least:g} to {self.most}", *examples[:MAX_SHOWN])


@dataclass(frozen=True, slots=True)
class RunsAbandoned:
    """Upstreams saw at least `least` connections close during a run."""

    least: int

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the total of all upstreams if it is too low."""
        count = sum(record.abandoned for record in evidence.records.values())
        if count >= self.least:
            return ()
        return (f"{count} runs were abandoned; expected at least {self.least}",)


def _runs_by_identity(evidence: Evidence) -> Counter[str]:
    total: Counter[str] = Counter()
    for record in evidence.records.values():
        total.update(record.count_by_identity())
    return total


def _truncate(found: Iterable[str]) -> tuple[str, ...]:
    """Return the first `MAX_SHOWN` violations and the number of the others."""
    faults = tuple(found)
    if len(faults) <= MAX_SHOWN:
        return faults
    return (*faults[:MAX_SHOWN], f"and {len(faults) - MAX_SHOWN} more")


_COUNT_RULE = IntegerRule(0, 1_000_000)

ANSWER_CHECKS = {
    "every answer is the caller's own": KindSpec(AnswersMatchRequests),
    "what was refused as not run did not run": KindSpec(RefusedNeverRan),
    "keyed requests ran at most once": KindSpec(KeyedRequestsRunOnce),
    "what was answered ran": KindSpec(AnsweredRequestsRan),
    "limits of the upstreams were kept": KindSpec(UpstreamLimitsKept),
    "answers": KindSpec(
        ResultCount,
        {
            "result": ChoiceRule(tuple(_RESULTS)),
            "load": NameRule(),
            "least": _COUNT_RULE,
            "most": _COUNT_RULE,
            "least_share": NumberRule(0.0, 1.0),
        },
        frozenset({"result"}),
    ),
    "runs were abandoned": KindSpec(
        RunsAbandoned, {"least": _COUNT_RULE}, frozenset({"least"})
    ),
}
