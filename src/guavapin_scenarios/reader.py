"""Reads a scenario from TOML and reports every error with file, table and key.

The name of a key gives its unit, seconds or milliseconds, as in `at_s` or
`duration_ms`. Example::

    name = "short name"
    about = "what happens and what must hold"

    [site]
    like = "gagnon"                 # further keys change this site, see `read_site`

    [objects.maintenance_wave.rack-1]   # published in addition to the site's objects
    racks = ["rimouski-r1"]

    [load.day]                      # the requests of a group of callers
    duration_ms = 10000

    [[request]]                     # single requests of a load
    load = "day"
    service = "renewals"

    [[step]]                        # performed in order, each at `at_s` or later
    at_s = 1.0
    do = "lose rack"
    rack = "rimouski-r1"

    [[check]]
    that = "the guarantees hold"
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from guavapin.objects.fields import ChoiceRule
from guavapin.objects.fields import NumberRule
from guavapin.objects.fields import format_value
from guavapin.objects.fields import read_fields
from guavapin.settings.reader import SettingsFault
from guavapin.settings.reader import read_file
from guavapin_scenarios.checks_answers import ANSWER_CHECKS
from guavapin_scenarios.checks_fleet import FLEET_CHECKS
from guavapin_scenarios.conditions import CONDITIONS
from guavapin_scenarios.guarantees import GUARANTEES
from guavapin_scenarios.model import NamedCheck
from guavapin_scenarios.model import Scenario
from guavapin_scenarios.model import TimedStep
from guavapin_scenarios.reader_site import read_loads
from guavapin_scenarios.reader_site import read_objects
from guavapin_scenarios.reader_site import read_site
from guavapin_scenarios.script import ScriptReader
from guavapin_scenarios.steps_callers import CALLER_STEPS
from guavapin_scenarios.steps_callers import WaitUntil
from guavapin_scenarios.steps_hosts import HOST_STEPS
from guavapin_scenarios.steps_operators import OPERATOR_STEPS
from guavapin_scenarios.steps_platform import PLATFORM_STEPS
from guavapin_scenarios.steps_processes import PROCESS_STEPS

if TYPE_CHECKING:
    from pathlib import Path

    from guavapin_scenarios.kinds import KindSpec

TABLES = ("name", "about", "site", "objects", "load", "request", "step", "check")
STEPS = {
    **PLATFORM_STEPS,
    **HOST_STEPS,
    **PROCESS_STEPS,
    **OPERATOR_STEPS,
    **CALLER_STEPS,
}
CHECKS = {**ANSWER_CHECKS, **FLEET_CHECKS, "the guarantees hold": GUARANTEES}
WAIT_STEP = "wait until"
_STEP_TIME_RULE = NumberRule(0.0, 600.0)
_WAIT_TIME_RULE = NumberRule(1.0, 180.0)


def load_scenario(path: Path) -> Scenario | tuple[SettingsFault, ...]:
    """Return the scenario in a file, or every error in it."""
    content = read_file(path)
    if isinstance(content, SettingsFault):
        return (content,)
    return parse_scenario(content, path.name)


def parse_scenario(
    text: str | bytes, file: str
) -> Scenario | tuple[SettingsFault, ...]:
    """Return the scenario in `text`; `file` is named in errors."""
    reader = ScriptReader(file, text, TABLES)
    if reader.faults:
        return tuple(reader.faults)
    scenario = Scenario(
        file=file,
        name=_read_text(reader, "name"),
        about=_read_text(reader, "about"),
        site=read_site(reader),
        extra_objects=read_objects(reader),
        loads=read_loads(reader),
        steps=_read_steps(reader),
        checks=_read_checks(reader),
    )
    if not reader.faults:
        _check_loads(reader, scenario)
    return tuple(reader.faults) if reader.faults else scenario


def _read_text(reader: ScriptReader, key: str) -> str:
    value = reader.top_level_value(key)
    if not isinstance(value, str) or not value or len(value) > 4_000:
        reader.fault("", key, format_value(value), "a text of 1 to 4000 characters")
        return ""
    return value


def _read_steps(reader: ScriptReader) -> tuple[TimedStep, ...]:
    steps = []
    for place, table in reader.table_array("step"):
        at_s = _pop_value(reader, place, table, "at_s", _STEP_TIME_RULE, 0.0)
        kind_name = _pop_value(
            reader, place, table, "do", ChoiceRule((*STEPS, WAIT_STEP))
        )
        if kind_name is None:
            continue
        if kind_name == WAIT_STEP:
            step = _read_wait(reader, place, table)
        else:
            step = _build_element(reader, place, table, STEPS[kind_name])
        if step is not None and at_s is not None:
            steps.append(TimedStep(int(at_s * 1_000), kind_name, step))
    return tuple(steps)


def _read_wait(reader: ScriptReader, place: str, table: dict[str, Any]) -> Any:
    within_s = _pop_value(reader, place, table, "within_s", _WAIT_TIME_RULE, 60.0)
    state = _pop_value(reader, place, table, "state", ChoiceRule(tuple(CONDITIONS)))
    if state is None or within_s is None:
        return None
    condition = _build_element(reader, place, table, CONDITIONS[state])
    return None if condition is None else WaitUntil(state, condition, int(within_s))


def _read_checks(reader: ScriptReader) -> tuple[NamedCheck, ...]:
    checks = []
    for place, table in reader.table_array("check"):
        that = _pop_value(reader, place, table, "that", ChoiceRule(tuple(CHECKS)))
        if that is not None:
            check = _build_element(reader, place, table, CHECKS[that])
            if check is not None:
                checks.append(NamedCheck(that, check))
    if not checks and not reader.faults:
        reader.fault("check", "", "missing", "at least one table [[check]]")
    return tuple(checks)


def _pop_value(
    reader: ScriptReader,
    place: str,
    table: dict[str, Any],
    key: str,
    rule: Any,
    default: Any = None,
) -> Any:
    """Remove a key from `table` and return its value, None if `rule` rejects it.

    A missing key gives `default`; without a default it is reported as an error.
    """
    if key not in table:
        if default is None:
            reader.fault(place, key, "missing", rule.expected)
        return default
    value = table.pop(key)
    accepted = rule.read(value)
    if accepted is None:
        reader.fault(place, key, format_value(value), rule.expected)
    return accepted


def _build_element(
    reader: ScriptReader, place: str, table: dict[str, Any], kind: KindSpec
) -> Any:
    values, problems = read_fields(table, kind.rules, kind.required)
    for item in problems:
        expected = item.expected if kind.rules else "no further key"
        reader.fault(place, item.field, item.found, expected)
    return None if problems else kind.build(**values)


def _check_loads(reader: ScriptReader, scenario: Scenario) -> None:
    """Report each step and check that refers to a load that the script lacks."""
    names = {load.name for load in scenario.loads}
    parts: list[tuple[str, object]] = [
        (f"step.{index}", getattr(item.step, "condition", item.step))
        for index, item in enumerate(scenario.steps)
    ]
    parts += [
        (f"check.{index}", item.check) for index, item in enumerate(scenario.checks)
    ]
    for place, part in parts:
        load = getattr(part, "load", "")
        if load and load not in names:
            expected = f"one of the loads {', '.join(sorted(names)) or 'none'}"
            reader.fault(place, "load", format_value(load), expected)
