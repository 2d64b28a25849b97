"""Settings of `guavapin-control`, frozen, from one TOML file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.objects.fields import IntegerRule
from guavapin.settings.parts import NODE_RULES
from guavapin.settings.parts import OPERATORS_RULES
from guavapin.settings.parts import PLATFORM_RULES
from guavapin.settings.parts import ListenerSettings
from guavapin.settings.parts import NodeSettings
from guavapin.settings.parts import PlatformSettings
from guavapin.settings.parts import check_operators_listener
from guavapin.settings.reader import SettingsFault
from guavapin.settings.reader import SettingsReader
from guavapin.settings.reader import TableRules
from guavapin.settings.reader import read_file

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class ControlLimits:
    """Limits of one control process.

    The duty lease is renewed when a third of `lease_ms` has passed.
    """

    lease_ms: int = 5_000
    audit_entries: int = 100_000
    stop_timeout_ms: int = 10_000


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """All settings of one control process."""

    node: NodeSettings
    operators: ListenerSettings
    platform: PlatformSettings
    limits: ControlLimits


_TABLES = ("node", "operators", "platform", "limits")

_LIMITS_RULES = TableRules(
    {
        "lease_ms": IntegerRule(1_000, 60_000),
        "audit_entries": IntegerRule(100, 10_000_000),
        "stop_timeout_ms": IntegerRule(0, 3_600_000),
    }
)


def load_control(path: Path) -> ControlSettings | tuple[SettingsFault, ...]:
    """Return the settings in the file `path`, or every error in it."""
    content = read_file(path)
    if isinstance(content, SettingsFault):
        return (content,)
    return parse_control(content, str(path))


def parse_control(
    text: str | bytes, file: str
) -> ControlSettings | tuple[SettingsFault, ...]:
    """Return the settings in `text`, or every error; `file` is named in errors."""
    reader = SettingsReader(file, text, _TABLES)
    node = reader.table("node", NODE_RULES)
    operators = reader.table("operators", OPERATORS_RULES)
    platform = reader.table("platform", PLATFORM_RULES)
    limits = reader.table("limits", _LIMITS_RULES)
    if reader.faults:
        return tuple(reader.faults)
    settings = ControlSettings(
        node=NodeSettings(**node),
        operators=ListenerSettings(**operators),
        platform=PlatformSettings(**platform),
        limits=ControlLimits(**limits),
    )
    check_operators_listener(reader, settings.operators)
    return tuple(reader.faults) if reader.faults else settings
