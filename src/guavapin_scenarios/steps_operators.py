"""Steps: what operators do, and how it must be answered."""

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
from guavapin_scenarios.kinds import StepKind
from guavapin_scenarios.rules import AnyRule

if TYPE_CHECKING:
    from guavapin.console.client import Answer
    from guavapin.kernel import Outcome
    from guavapin.objects.model import ObjectSet
    from guavapin_scenarios.world import World

# A configuration is in force everywhere within 7 s, in two years' size.
IN_FORCE_MS = 7_000
_STATUSES = {"done": (200,), "refused": (409, 422, 429, 503), "any": ()}
_ANSWERS = ChoiceRule(tuple(_STATUSES))


@dataclass(frozen=True, slots=True)
class PublishChange:
    """An operator changes one field of one object and waits until it is in force.

    `entry` numbers the entry process that is asked.
    """

    kind: str
    name: str
    field: str
    value: Any
    entry: int = 0
    answer: str = "done"

    def perform(self, world: World) -> Outcome[str]:
        """Publish on top of the newest generation."""
        objects = change_object(
            world.objects, self.kind, self.name, self.field, self.value
        )
        if isinstance(objects, Refused):
            return objects
        base = world.generation
        outcome = world.publish(
            objects.value, base, "scenario", IN_FORCE_MS, self.entry
        )
        if isinstance(outcome, Ok) and outcome.value.status == 200:
            world.objects = objects.value
        return _judge(outcome, self.answer)


@dataclass(frozen=True, slots=True)
class TwoOperators:
    """Two operators change one field each, from the same generation, at once.

    On one object exactly one of them gets through and the other is told of the
    conflict; on two objects both changes are merged.
    """

    kind: str
    first: str
    second: str
    field: str
    first_value: Any
    second_value: Any

    def perform(self, world: World) -> Outcome[str]:
        """Publish both at different entry processes."""
        base, before = world.generation, world.objects
        changes = ((self.first, self.first_value), (self.second, self.second_value))

        def publish(index: int) -> Outcome[Answer]:
            name, value = changes[index]
            objects = change_object(before, self.kind, name, self.field, value)
            if isinstance(objects, Refused):
                return objects
            entry = index * (len(world.site.addresses) - 1)
            return world.publish(objects.value, base, "edit", IN_FORCE_MS, entry)

        with ThreadPoolExecutor(2) as executor:
            outcomes = list(executor.map(publish, range(2)))
        return self._judge(world, outcomes)

    def _judge(self, world: World, outcomes: list[Outcome[Answer]]) -> Outcome[str]:
        statuses = [item.value.status for item in outcomes if isinstance(item, Ok)]
        expected = [200, 409] if self.first == self.second else [200, 200]
        if sorted(statuses) != expected:
            return Refused(Reason.CONFLICT, f"answered {outcomes}")
        for status, name, value in (
            (statuses[0], self.first, self.first_value),
            (statuses[1], self.second, self.second_value),
        ):
            if status == 200:
                changed = change_object(
                    world.objects, self.kind, name, self.field, value
                )
                assert isinstance(changed, Ok)
                world.objects = changed.value
        return Ok(f"answered {statuses}")


@dataclass(frozen=True, slots=True)
class ChangeHost:
    """An operator drains, undrains or moves a host."""

    host: str
    action: str
    pool: str = ""
    answer: str = "done"
    entry: int = 0

    def perform(self, world: World) -> Outcome[str]:
        """Ask one entry process."""
        path = f"/operator/v1/hosts/{self.host}/{self.action}"
        return _judge(
            world.site.client(self.entry).post(path, {"pool": self.pool}), self.answer
        )


@dataclass(frozen=True, slots=True)
class ChangeWave:
    """An operator starts, pauses, resumes or aborts a wave."""

    wave: str
    action: str
    answer: str = "done"
    entry: int = 0

    def perform(self, world: World) -> Outcome[str]:
        """Ask one entry process."""
        path = f"/operator/v1/waves/{self.wave}/{self.action}"
        return _judge(world.site.client(self.entry).post(path, {}), self.answer)


def change_object(
    objects: ObjectSet, kind: str, name: str, field: str, value: Any
) -> Outcome[ObjectSet]:
    """Return the set with one field of one object replaced, or created anew."""
    spec = KINDS_BY_WORD[kind]
    known = getattr(objects, spec.attribute)
    if field not in {item.name for item in fields(spec.cls)}:
        return Refused(Reason.MISSING, f"{kind} has no field {field!r}")
    if name not in known and spec.required - {field}:
        return Refused(Reason.MISSING, f"no {kind} is named {name!r}")
    old = known.get(name)
    new = replace(old, **{field: value}) if old else spec.cls(name, **{field: value})
    changed = {**known, name: new}
    return Ok(replace(objects, **{spec.attribute: changed}))


def _judge(outcome: Outcome[Answer], answer: str) -> Outcome[str]:
    if isinstance(outcome, Refused):
        if answer == "done":
            return outcome
        return Ok(str(outcome))
    seen = f"status {outcome.value.status}: {outcome.value.body}"
    expected = _STATUSES[answer]
    if expected and outcome.value.status not in expected:
        return Refused(Reason.CONFLICT, f"{seen}; expected {answer}")
    return Ok(seen[:200])


_ENTRY = IntegerRule(0, 63)
_KIND = ChoiceRule(tuple(KINDS_BY_WORD))

OPERATOR_STEPS = {
    "publish": StepKind(
        PublishChange,
        {
            "kind": _KIND,
            "name": NameRule(),
            "field": NameRule(),
            "value": AnyRule(),
            "entry": _ENTRY,
            "answer": _ANSWERS,
        },
        frozenset({"kind", "name", "field", "value"}),
    ),
    "two operators publish": StepKind(
        TwoOperators,
        {
            "kind": _KIND,
            "first": NameRule(),
            "second": NameRule(),
            "field": NameRule(),
            "first_value": AnyRule(),
            "second_value": AnyRule(),
        },
        frozenset({"kind", "first", "second", "field", "first_value", "second_value"}),
    ),
    "host": StepKind(
        ChangeHost,
        {
            "host": NameRule(),
            "action": ChoiceRule(("drain", "undrain", "move", "undo-move")),
            "pool": NameRule(),
            "answer": _ANSWERS,
            "entry": _ENTRY,
        },
        frozenset({"host", "action"}),
    ),
    "wave": StepKind(
        ChangeWave,
        {
            "wave": NameRule(),
            "action": ChoiceRule(("start", "pause", "resume", "abort")),
            "answer": _ANSWERS,
            "entry": _ENTRY,
        },
        frozenset({"wave", "action"}),
    ),
}
