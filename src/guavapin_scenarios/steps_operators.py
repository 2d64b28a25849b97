"""Steps that send operators' requests and check the status of the answers."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from dataclasses import fields
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from guavapin.kernel import Ok
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.objects.fields import ChoiceRule
from guavapin.objects.fields import IntegerRule
from guavapin.objects.fields import NameRule
from guavapin.objects.kinds import KINDS_BY_WORD
from guavapin_scenarios.kinds import KindSpec
from guavapin_scenarios.rules import AnyRule

if TYPE_CHECKING:
    from guavapin.console.client import Answer
    from guavapin.kernel import Outcome
    from guavapin.objects.model import ObjectSet
    from guavapin_scenarios.scenario_run import ScenarioRun

# At the size expected in two years, a configuration must be in force at all entry
# processes within 7 s.
IN_FORCE_TIMEOUT_MS = 7_000
_STATUSES = {"done": (200,), "refused": (409, 422, 429, 503), "any": ()}
_ANSWER_RULE = ChoiceRule(tuple(_STATUSES))


@dataclass(frozen=True, slots=True)
class PublishChange:
    """Publish a change of one field of one object and wait until it is in force.

    `entry` is the index of the entry process that gets the request, `answer` the
    expected kind of answer.
    """

    kind: str
    name: str
    field: str
    value: Any
    entry: int = 0
    answer: str = "done"

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Publish the change with the newest generation as its base."""
        objects = change_object(
            run.objects, self.kind, self.name, self.field, self.value
        )
        if isinstance(objects, Refused):
            return objects
        base = run.generation
        outcome = run.publish(
            objects.value, base, "scenario", IN_FORCE_TIMEOUT_MS, self.entry
        )
        if isinstance(outcome, Ok) and outcome.value.status == 200:
            run.objects = objects.value
        return _check_answer(outcome, self.answer)


@dataclass(frozen=True, slots=True)
class PublishConcurrently:
    """Publish two changes of one field each concurrently, from the same generation.

    If both change the same object, exactly one is accepted and the other gets a
    conflict. If they change different objects, both are accepted and merged.
    """

    kind: str
    first: str
    second: str
    field: str
    first_value: Any
    second_value: Any

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Publish the changes at the first and the last entry process."""
        base, before = run.generation, run.objects
        changes = ((self.first, self.first_value), (self.second, self.second_value))

        def publish(index: int) -> Outcome[Answer]:
            name, value = changes[index]
            objects = change_object(before, self.kind, name, self.field, value)
            if isinstance(objects, Refused):
                return objects
            entry = index * (len(run.site.addresses) - 1)
            return run.publish(objects.value, base, "edit", IN_FORCE_TIMEOUT_MS, entry)

        with ThreadPoolExecutor(2) as executor:
            outcomes = list(executor.map(publish, range(2)))
        return self._check_statuses(run, outcomes)

    def _check_statuses(
        self, run: ScenarioRun, outcomes: list[Outcome[Answer]]
    ) -> Outcome[str]:
        statuses = [item.value.status for item in outcomes if isinstance(item, Ok)]
        expected = [200, 409] if self.first == self.second else [200, 200]
        if sorted(statuses) != expected:
            return Refused(Reason.CONFLICT, f"answered {outcomes}")
        for status, name, value in (
            (statuses[0], self.first, self.first_value),
            (statuses[1], self.second, self.second_value),
        ):
            if status == 200:
                changed = change_object(run.objects, self.kind, name, self.field, value)
                assert isinstance(changed, Ok)
                run.objects = changed.value
        return Ok(f"answered {statuses}")


@dataclass(frozen=True, slots=True)
class ChangeHost:
    """Send an operator's request to drain, undrain or move a host."""

    host: str
    action: str
    pool: str = ""
    answer: str = "done"
    entry: int = 0

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Send the request to the entry process with the index `entry`."""
        path = f"/operator/v1/hosts/{self.host}/{self.action}"
        return _check_answer(
            run.site.client(self.entry).post(path, {"pool": self.pool}), self.answer
        )


@dataclass(frozen=True, slots=True)
class ChangeWave:
    """Send an operator's request to start, pause, resume or abort a wave."""

    wave: str
    action: str
    answer: str = "done"
    entry: int = 0

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Send the request to the entry process with the index `entry`."""
        path = f"/operator/v1/waves/{self.wave}/{self.action}"
        return _check_answer(run.site.client(self.entry).post(path, {}), self.answer)


def change_object(
    objects: ObjectSet, kind: str, name: str, field: str, value: Any
) -> Outcome[ObjectSet]:
    """Return the set with one field of one object replaced.

    A missing object is created, if its kind requires no other field.
    """
    spec = KINDS_BY_WORD[kind]
    existing = getattr(objects, spec.attribute)
    if field not in {item.name for item in fields(spec.cls)}:
        return Refused(Reason.MISSING, f"{kind} has no field {field!r}")
    if name not in existing and spec.required - {field}:
        return Refused(Reason.MISSING, f"no {kind} is named {name!r}")
    old = existing.get(name)
    new = replace(old, **{field: value}) if old else spec.cls(name, **{field: value})
    changed = {**existing, name: new}
    return Ok(replace(objects, **{spec.attribute: changed}))


def _check_answer(outcome: Outcome[Answer], answer: str) -> Outcome[str]:
    if isinstance(outcome, Refused):
        if answer == "done":
            return outcome
        return Ok(str(outcome))
    seen = f"status {outcome.value.status}: {outcome.value.body}"
    expected = _STATUSES[answer]
    if expected and outcome.value.status not in expected:
        return Refused(Reason.CONFLICT, f"{seen}; expected {answer}")
    return Ok(seen[:200])


_ENTRY_RULE = IntegerRule(0, 63)
_KIND_RULE = ChoiceRule(tuple(KINDS_BY_WORD))

OPERATOR_STEPS = {
    "publish": KindSpec(
        PublishChange,
        {
            "kind": _KIND_RULE,
            "name": NameRule(),
            "field": NameRule(),
            "value": AnyRule(),
            "entry": _ENTRY_RULE,
            "answer": _ANSWER_RULE,
        },
        frozenset({"kind", "name", "field", "value"}),
    ),
    "two operators publish": KindSpec(
        PublishConcurrently,
        {
            "kind": _KIND_RULE,
            "first": NameRule(),
            "second": NameRule(),
            "field": NameRule(),
            "first_value": AnyRule(),
            "second_value": AnyRule(),
        },
        frozenset({"kind", "first", "second", "field", "first_value", "second_value"}),
    ),
    "host": KindSpec(
        ChangeHost,
        {
            "host": NameRule(),
            "action": ChoiceRule(("drain", "undrain", "move", "undo-move")),
            "pool": NameRule(),
            "answer": _ANSWER_RULE,
            "entry": _ENTRY_RULE,
        },
        frozenset({"host", "action"}),
    ),
    "wave": KindSpec(
        ChangeWave,
        {
            "wave": NameRule(),
            "action": ChoiceRule(("start", "pause", "resume", "abort")),
            "answer": _ANSWER_RULE,
            "entry": _ENTRY_RULE,
        },
        frozenset({"wave", "action"}),
    ),
}
