"""The checks of keys and caps report each broken promise and no kept one."""

from __future__ import annotations

import json
import random

from guavapin_soak.key_checks import ServedCall
from guavapin_soak.key_checks import cap_violations
from guavapin_soak.key_checks import key_violations
from guavapin_soak.organisations import REVOKE_MS
from guavapin_soak.organisations import Operator
from guavapin_soak.organisations import plan_key_changes
from guavapin_standins.resident_executor import RunEvent

REMOVED_MS = {"north-1": 1_000}


def test_calls_with_removed_and_made_up_keys_are_reported() -> None:
    # Guards against checks that cannot fail, and that fail every run.
    in_time = [ServedCall(1_000 + REVOKE_MS, "north-1"), ServedCall(9_000, "north-2")]
    assert [*key_violations(in_time, REMOVED_MS)] == []
    late = ServedCall(1_001 + REVOKE_MS, "north-1")
    assert len([*key_violations([late], REMOVED_MS)]) == 1
    assert len([*key_violations([ServedCall(1, "north-made-up-1")], {})]) == 1


def runs(count: int, kind: str = "start") -> list[RunEvent]:
    return [RunEvent(kind, f"0001{n:012x}.0.0.0", n) for n in range(count)]


def test_starts_beyond_a_cap_are_reported() -> None:
    # Guards against checks that cannot fail, and that fail every run.
    assert [*cap_violations(runs(7), lambda _: "south")] == []
    assert len([*cap_violations(runs(8), lambda _: "south")]) == 1
    assert [*cap_violations(runs(12), lambda _: "north")] == []
    ended = [*runs(7), *runs(7, "done"), *runs(7)]
    assert [*cap_violations(ended, lambda _: "south")] == []


def test_the_operator_replaces_keys_in_newer_versions() -> None:
    # Guards against a soak that never removes a key.
    stored: list[dict] = []
    operator = Operator(
        {"version": 1}, lambda value: stored.append(json.loads(value)), lambda: 7
    )
    operator.replace_key("north")
    assert [row["version"] for row in stored] == [1, 2]
    assert [row["tenants"][0]["api-keys"] for row in stored] == [
        ["north-1"],
        ["north-2"],
    ]
    assert operator.removed_ms == {"north-1": 7}
    rng = random.Random(1)
    drawn = {operator.draw_key("north", rng) for _ in range(200)}
    assert {"north-1", "north-2"} < drawn
    assert plan_key_changes(1, 12_000) == plan_key_changes(1, 12_000)
