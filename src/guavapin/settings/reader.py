"""Reads settings from TOML; collects every error with its file, table and key."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from guavapin.objects.fields import format_value
from guavapin.objects.fields import read_fields

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from guavapin.objects.fields import FieldRule

MAX_SETTINGS_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """One error in a settings file; the command that reads it exits with code 2."""

    file: str
    table: str
    key: str
    found: str
    expected: str

    def __str__(self) -> str:
        place = f"{self.file}: [{self.table}] {self.key}"
        return f"{place} = {self.found}; expected {self.expected}"


@dataclass(frozen=True, slots=True)
class TableRules:
    """The rules of one table: a rule per key, and the keys that must be present."""

    rules: Mapping[str, FieldRule]
    required: frozenset[str] = frozenset()


class SettingsReader:
    """Reads the tables of one file; `faults` holds all errors found so far.

    For example::

        reader = SettingsReader(file, text, ("node", "platform"))
        node = reader.table("node", NODE_RULES)
        if reader.faults:
            ...
    """

    def __init__(self, file: str, text: str | bytes, tables: tuple[str, ...]) -> None:
        self.file = file
        self.faults: list[SettingsFault] = []
        self._tables = self._parse(text)
        for name in self._tables:
            if name not in tables:
                expected = "one of the tables " + ", ".join(tables)
                self.fault(format_value(name)[1:-1], "", "unknown", expected)

    def table(
        self, name: str, rules: TableRules, ignored: tuple[str, ...] = ()
    ) -> dict[str, Any]:
        """Return the accepted values of a table; an absent table counts as empty.

        The keys in `ignored` are skipped: they hold tables that `tables` reads.
        """
        table = self._tables.get(name, {})
        if isinstance(table, dict):
            table = {key: item for key, item in table.items() if key not in ignored}
        return self._read(name, table, rules)

    def tables(self, name: str, key: str, rules: TableRules) -> list[dict[str, Any]]:
        """Return the accepted values of an array of tables, ``[[NAME.KEY]]``."""
        parent = self._tables.get(name, {})
        items = parent.get(key, []) if isinstance(parent, dict) else []
        if not isinstance(items, list):
            self.fault(name, key, format_value(items), f"tables [[{name}.{key}]]")
            return []
        return [
            self._read(f"{name}.{key}.{index}", item, rules)
            for index, item in enumerate(items)
        ]

    def fault(self, table: str, key: str, found: str, expected: str) -> None:
        """Add an error."""
        self.faults.append(SettingsFault(self.file, table, key, found, expected))

    def _read(self, name: str, table: object, rules: TableRules) -> dict[str, Any]:
        if not isinstance(table, dict):
            self.fault(name, "", format_value(table), f"a table [{name}]")
            return {}
        values, problems = read_fields(table, rules.rules, rules.required)
        for item in problems:
            self.fault(name, item.field, item.found, item.expected)
        return values

    def _parse(self, text: str | bytes) -> dict[str, Any]:
        if len(text) > MAX_SETTINGS_BYTES:
            expected = f"at most {MAX_SETTINGS_BYTES} bytes"
            self.fault("", "size", f"{len(text)} bytes", expected)
            return {}
        try:
            return tomllib.loads(text if isinstance(text, str) else text.decode())
        except (ValueError, RecursionError) as exc:
            detail = str(exc)[:200] or type(exc).__name__
            self.fault("", "syntax", detail, "TOML in UTF-8")
            return {}


def read_file(path: Path) -> bytes | SettingsFault:
    """Return the content of a settings file, or the error that prevents reading."""
    try:
        with path.open("rb") as file:
            return file.read(MAX_SETTINGS_BYTES + 1)
    except OSError as exc:
        return SettingsFault(str(path), "", "file", str(exc), "a readable file")
