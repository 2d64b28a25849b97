"""Three-way merge of object sets, object by object."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.objects.kinds import KINDS
from guavapin.objects.kinds import KINDS_BY_WORD
from guavapin.objects.kinds import find_object
from guavapin.objects.kinds import objects_of
from guavapin.objects.model import ObjectSet
from guavapin.publication.messages import Change
from guavapin.publication.messages import ObjectConflict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.objects.kinds import NamedObject


def diff(base: ObjectSet, edited: ObjectSet) -> tuple[Change, ...]:
    """Return the changes that lead from `base` to `edited`, by kind and name."""
    changes: list[Change] = []
    for kind in KINDS:
        old, new = objects_of(base, kind), objects_of(edited, kind)
        changes.extend(
            Change(kind.word, name, old.get(name), new.get(name))
            for name in sorted(old.keys() | new.keys())
            if old.get(name) != new.get(name)
        )
    return tuple(changes)


def validate_changes(changes: Iterable[Change]) -> Refused | None:
    """Return the refusal of malformed changes, or None if they are well-formed."""
    seen: set[tuple[str, str]] = set()
    for change in changes:
        label = f"{change.kind} {change.name!r}"
        kind = KINDS_BY_WORD.get(change.kind)
        if kind is None:
            return Refused(Reason.BAD_INPUT, f"{label}: unknown kind")
        if (change.kind, change.name) in seen:
            return Refused(Reason.BAD_INPUT, f"{label}: changed twice")
        seen.add((change.kind, change.name))
        new = change.new
        if new is not None and (type(new) is not kind.cls or new.name != change.name):
            return Refused(Reason.BAD_INPUT, f"{label}: object of another kind or name")
    return None


def apply_changes(
    objects: ObjectSet, changes: Iterable[Change]
) -> ObjectSet | tuple[ObjectConflict, ...]:
    """Return the set with the changes, or the conflicts with changes by others.

    An object that already equals the result of its change is no conflict, so that a
    repeated request has no effect. The changes must be well-formed.
    """
    conflicts = []
    applied: dict[str, dict[str, Any]] = {
        kind.attribute: dict(objects_of(objects, kind)) for kind in KINDS
    }
    for change in changes:
        current = find_object(objects, change.kind, change.name)
        if current == change.new:
            continue
        if current != change.old:
            conflicts.append(_conflict(change, current))
            continue
        mapping = applied[KINDS_BY_WORD[change.kind].attribute]
        if change.new is None:
            del mapping[change.name]
        else:
            mapping[change.name] = change.new
    return tuple(conflicts) if conflicts else ObjectSet(**applied)


def _conflict(change: Change, current: NamedObject | None) -> ObjectConflict:
    return ObjectConflict(change.kind, change.name, change.old, current, change.new)
