"""The kinds of objects: their TOML words, classes, attributes and field rules."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

from guavapin.objects.fields import AddressRule
from guavapin.objects.fields import BooleanRule
from guavapin.objects.fields import IntegerRule
from guavapin.objects.fields import NameRule
from guavapin.objects.fields import NamesRule
from guavapin.objects.fields import NumberRule
from guavapin.objects.fields import TextRule
from guavapin.objects.model import DAY_MS
from guavapin.objects.model import AvailabilityBudget
from guavapin.objects.model import AvailabilityZone
from guavapin.objects.model import GrowthPlan
from guavapin.objects.model import Host
from guavapin.objects.model import MaintenanceWave
from guavapin.objects.model import ObjectSet
from guavapin.objects.model import Pool
from guavapin.objects.model import Service
from guavapin.objects.model import TeamQuota

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavapin.objects.fields import FieldRule

NamedObject: TypeAlias = (
    AvailabilityZone
    | Host
    | Pool
    | Service
    | AvailabilityBudget
    | MaintenanceWave
    | TeamQuota
    | GrowthPlan
)

MAX_COUNT = 100_000
MAX_WALL_MS = 2**53
HOST_NAME_PATTERN = r"[A-Za-z0-9]([A-Za-z0-9-]*[A-Za-z0-9])?(\.[A-Za-z0-9-]+)*"

_COUNT = IntegerRule(0, MAX_COUNT)
_POSITIVE = IntegerRule(1, MAX_COUNT)
_SHARE = NumberRule(0.0, 1.0)
_WALL_MS = IntegerRule(0, MAX_WALL_MS)
_DURATION_MS = IntegerRule(1, DAY_MS)


@dataclass(frozen=True, slots=True)
class HostNamesRule:
    """An array of DNS host names."""

    max_items: int = 64

    @property
    def expected(self) -> str:
        return f"an array of at most {self.max_items} DNS host names"

    def read(self, value: object) -> object | None:
        if not isinstance(value, list) or len(value) > self.max_items:
            return None
        rule = TextRule("a DNS host name", 253, HOST_NAME_PATTERN)
        return tuple(value) if all(rule.read(item) for item in value) else None


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind: its TOML word, its attribute in `ObjectSet`, its class and rules.

    `limit` is the maximum number of objects of the kind.
    """

    word: str
    attribute: str
    cls: type[Any]
    limit: int
    rules: Mapping[str, FieldRule]

    @property
    def required(self) -> frozenset[str]:
        """Return the fields without a default, other than the name."""
        return frozenset(
            item.name
            for item in dataclasses.fields(self.cls)
            if item.default is dataclasses.MISSING and item.name != "name"
        )


KINDS = (
    Kind(
        "availability_zone",
        "zones",
        AvailabilityZone,
        limit=64,
        rules={"region": NameRule(), "seats": IntegerRule(1, 64)},
    ),
    Kind(
        "host",
        "hosts",
        Host,
        limit=20_000,
        rules={
            "zone": NameRule(),
            "rack": NameRule(),
            "pool": NameRule(),
            "address": AddressRule(),
            "cores": IntegerRule(1, 4_096),
            "memory_gb": IntegerRule(1, MAX_COUNT),
            "accelerators": IntegerRule(0, 1_024),
            "cost_per_hour": NumberRule(0.0, 1e6),
        },
    ),
    Kind(
        "pool",
        "pools",
        Pool,
        limit=1_000,
        rules={
            "budget": NameRule(),
            "slots": IntegerRule(1, 4_096),
            "connections": IntegerRule(1, 65_535),
            "is_spare": BooleanRule(),
            "max_ejected_share": _SHARE,
            "burst_hosts": _COUNT,
        },
    ),
    Kind(
        "service",
        "services",
        Service,
        limit=1_000,
        rules={
            "pool": NameRule(),
            "path_prefix": TextRule(
                "empty or a path that begins with '/', without '?' or '#'",
                pattern=r"(/[^?#\s]*)?",
            ),
            "host_names": HostNamesRule(),
            "idempotent": BooleanRule(),
            "timeout_ms": _DURATION_MS,
            "queue_limit": _COUNT,
            "expected_run_ms": _DURATION_MS,
            "max_body_bytes": IntegerRule(0, 2**40),
        },
    ),
    Kind(
        "availability_budget",
        "budgets",
        AvailabilityBudget,
        limit=1_000,
        rules={
            "min_available": _COUNT,
            "min_available_share": _SHARE,
            "max_down_per_zone": _COUNT,
            "max_down_per_rack": _COUNT,
        },
    ),
    Kind(
        "maintenance_wave",
        "waves",
        MaintenanceWave,
        limit=1_000,
        rules={
            "pools": NamesRule(),
            "racks": NamesRule(),
            "max_at_once": _POSITIVE,
            "max_failed": _COUNT,
            "drain_timeout_ms": _DURATION_MS,
            "reboot_timeout_ms": _DURATION_MS,
            "window_start_ms": _WALL_MS,
            "window_length_ms": IntegerRule(1, 400 * DAY_MS),
            "after": NameRule(may_be_empty=True),
        },
    ),
    Kind(
        "team_quota",
        "quotas",
        TeamQuota,
        limit=10_000,
        rules={
            "team": NameRule(),
            "service": NameRule(),
            "requests_per_second": NumberRule(0.0, 1e6),
            "burst": _POSITIVE,
            "max_slots": _COUNT,
        },
    ),
    Kind(
        "growth_plan",
        "growth_plans",
        GrowthPlan,
        limit=1_000,
        rules={
            "pool": NameRule(),
            "hosts": _POSITIVE,
            "notice_ms": IntegerRule(0, 400 * DAY_MS),
            "until_ms": _WALL_MS,
            "probability": _SHARE,
        },
    ),
)

KINDS_BY_WORD = {kind.word: kind for kind in KINDS}
KINDS_BY_CLASS = {kind.cls: kind for kind in KINDS}


def objects_of(objects: ObjectSet, kind: Kind) -> dict[str, Any]:
    """Return the mapping from name to object of one kind."""
    mapping: dict[str, Any] = getattr(objects, kind.attribute)
    return mapping


def find_object(objects: ObjectSet, word: str, name: str) -> NamedObject | None:
    """Return the object `name` of the kind `word`, or None if there is none."""
    kind = KINDS_BY_WORD.get(word)
    return None if kind is None else objects_of(objects, kind).get(name)


def count_objects(objects: ObjectSet) -> int:
    """Return the number of objects of all kinds."""
    return sum(len(objects_of(objects, kind)) for kind in KINDS)
