"""Checks keys and caps against what callers and executors saw; pure."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin_soak.organisations import BURST_SHARE
from guavapin_soak.organisations import CAP_MILLIS
from guavapin_soak.organisations import NAMES
from guavapin_soak.organisations import NEED_MILLIS
from guavapin_soak.organisations import REVOKE_MS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from guavapin_standins.resident_executor import RunEvent


@dataclass(frozen=True, slots=True)
class ServedCall:
    """A call that was sent at `at_ms` with `key` and answered with success."""

    at_ms: int
    key: str


def key_violations(
    calls: Iterable[ServedCall], removed_ms: Mapping[str, int]
) -> Iterator[str]:
    """Yield a sentence for each call that was served with a key it must not have.

    `removed_ms` has the time at which the removal of a key was stored.
    """
    for call in calls:
        if "made-up" in call.key:
            yield f"a call at {call.at_ms} ms was served with a key that never was one"
        age_ms = call.at_ms - removed_ms.get(call.key, call.at_ms)
        if age_ms > REVOKE_MS:
            yield (
                f"a call at {call.at_ms} ms was served {age_ms} ms after its key "
                f"{call.key} was removed"
            )


def cap_violations(
    events: Iterable[RunEvent], organisation_of_task: Callable[[str], str]
) -> Iterator[str]:
    """Yield a sentence for each start beyond the cap of the second organisation.

    A start may exceed the cap by its burst share and one subtask more.
    """
    capped = NAMES[1]
    allowed = CAP_MILLIS * (1 + BURST_SHARE) + NEED_MILLIS
    running: Counter[str] = Counter()
    for event in events:
        if organisation_of_task(event.task) != capped or event.kind == "confirmed":
            continue
        running[event.task] += 1 if event.kind == "start" else -1
        used = NEED_MILLIS * sum(running.values())
        if event.kind == "start" and used > allowed:
            yield f"{event.task}: started at {event.at_ms} ms, {used} of {allowed} used"
