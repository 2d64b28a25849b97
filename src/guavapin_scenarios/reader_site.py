"""Reads the site, the additional objects and the loads of a script."""

from __future__ import annotations

from dataclasses import fields
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import tomli_w

from guavapin.objects.codec import decode_text
from guavapin.objects.fields import ChoiceRule
from guavapin.objects.fields import IntegerRule
from guavapin.objects.fields import NameRule
from guavapin.objects.fields import NamesRule
from guavapin.objects.fields import NumberRule
from guavapin.objects.fields import format_value
from guavapin.objects.fields import read_fields
from guavapin.objects.model import ObjectSet
from guavapin_demo.demand import DemandPlan
from guavapin_demo.demand import PlannedRequest
from guavapin_demo.sites import GAGNON
from guavapin_demo.sites import SITES
from guavapin_demo.sites import Site
from guavapin_scenarios.model import Load

if TYPE_CHECKING:
    from guavapin.objects.fields import FieldRule
    from guavapin_scenarios.script import ScriptReader

_SITE_RULES: dict[str, FieldRule] = {
    "like": ChoiceRule(tuple(SITES)),
    "zones": NamesRule(),
    "services": NamesRule(),
    "executors": IntegerRule(1, 16),
}
MAX_ZONE_SEATS = 8
_DURATION_RULE = IntegerRule(1, 120_000)
_SHARE_RULE = NumberRule(0.0, 1.0)
_LOAD_RULES: dict[str, FieldRule] = {
    "services": NamesRule(),
    "duration_ms": _DURATION_RULE,
    "turn_ms": _DURATION_RULE,
    "mean_per_second": NumberRule(0.1, 500.0),
    "run_ms": _DURATION_RULE,
    "long_run_ms": _DURATION_RULE,
    "long_share": _SHARE_RULE,
    "keyed_share": _SHARE_RULE,
    "repeated_share": _SHARE_RULE,
}
_REQUEST_RULES: dict[str, FieldRule] = {
    "load": NameRule(),
    "service": NameRule(),
    "method": ChoiceRule(("GET", "POST")),
    "at_ms": IntegerRule(0, 120_000),
    "run_ms": IntegerRule(0, 120_000),
    "key": NameRule(),
    "times": IntegerRule(1, 1_000),
    "every_ms": IntegerRule(0, 60_000),
}


def read_site(reader: ScriptReader) -> Site:
    """Return the site that `like` names, with the sizes that the script changes.

    `seats` is the number of entry processes in each zone, `executors` the number of
    hosts of each service. If `services` is given, the pool of the last one is the
    spare pool.
    """
    table = reader.top_level_value("site")
    if not isinstance(table, dict):
        reader.fault("site", "", format_value(table), "a table [site]")
        return GAGNON
    table = dict(table)
    seats = table.pop("seats", None)
    values, problems = read_fields(table, _SITE_RULES, frozenset({"like"}))
    for item in problems:
        reader.fault("site", item.field, item.found, item.expected)
    if problems:
        return GAGNON
    base = SITES[str(values.pop("like"))]
    site = replace(base, **values)  # type: ignore[arg-type]
    if "services" in values:
        site = replace(site, spare_pool=site.services[-1])
    if seats is not None or "zones" in values:
        site = replace(site, seats=_read_seats(reader, seats, len(site.zones)))
    return site


def _read_seats(reader: ScriptReader, seats: object, zones: int) -> tuple[int, ...]:
    rule = IntegerRule(1, MAX_ZONE_SEATS)
    is_valid = isinstance(seats, list) and len(seats) == zones
    if isinstance(seats, list) and is_valid:
        accepted = [rule.read(item) for item in seats]
        if None not in accepted:
            return tuple(seats)
    expected = (
        f"an array of {zones} integers from 1 to {MAX_ZONE_SEATS}, one for each zone"
    )
    reader.fault("site", "seats", format_value(seats), expected)
    return (1,) * zones


def read_objects(reader: ScriptReader) -> ObjectSet:
    """Return the additional objects; their tables have the operators' TOML form."""
    table = reader.top_level_value("objects")
    if table is None:
        return ObjectSet()
    if not isinstance(table, dict):
        reader.fault("objects", "", format_value(table), "tables [objects.KIND.NAME]")
        return ObjectSet()
    objects = decode_text(tomli_w.dumps(table))
    if isinstance(objects, ObjectSet):
        return objects
    for fault in objects:
        place = f"objects.{fault.kind}.{fault.name}"
        reader.fault(place, fault.field, fault.value, fault.expected)
    return ObjectSet()


def read_loads(reader: ScriptReader) -> tuple[Load, ...]:
    """Return the loads, each with the single requests that refer to it."""
    loads = {}
    for place, name, table in reader.named_tables("load"):
        plan = _read_plan(reader, place, table) if table else None
        loads[name] = Load(name, plan)
    for place, table in reader.table_array("request"):
        values, problems = read_fields(
            table, _REQUEST_RULES, frozenset({"load", "service"})
        )
        for item in problems:
            reader.fault(place, item.field, item.found, item.expected)
        if problems:
            continue
        name = str(values.pop("load"))
        load = loads.get(name, Load(name))
        requests = load.requests + _expand_request(place, values)
        loads[name] = replace(load, requests=requests)
    return tuple(loads.values())


def _read_plan(
    reader: ScriptReader, place: str, table: dict[str, Any]
) -> DemandPlan | None:
    required = frozenset({"services", "duration_ms"})
    values, problems = read_fields(table, _LOAD_RULES, required)
    for item in problems:
        reader.fault(place, item.field, item.found, item.expected)
    known = {item.name for item in fields(DemandPlan)}
    assert values.keys() <= known
    return None if problems else DemandPlan(**values)  # type: ignore[arg-type]


def _expand_request(place: str, values: dict[str, Any]) -> tuple[PlannedRequest, ...]:
    """Return `times` requests at intervals of `every_ms`, all with the same `key`."""
    key = values.get("key", "")
    return tuple(
        PlannedRequest(
            at_ms=values.get("at_ms", 0) + index * values.get("every_ms", 0),
            identity=f"{place}.{index}",
            service=values["service"],
            method=values.get("method", "POST" if key else "GET"),
            run_ms=values.get("run_ms", 0),
            idempotency_key=key,
        )
        for index in range(values.get("times", 1))
    )
