"""Access to the tables of a script, based on the reader of settings files."""

from __future__ import annotations

from typing import Any

from guavapin.objects.fields import format_value
from guavapin.settings.reader import SettingsReader


class ScriptReader(SettingsReader):
    """Adds top-level values, named tables and arrays of tables to the settings."""

    def top_level_value(self, key: str) -> object:
        """Return the value of a top-level key, None if it is missing."""
        return self._tables.get(key)

    def named_tables(self, key: str) -> list[tuple[str, str, dict[str, Any]]]:
        """Return path, name and content of each table ``[KEY.NAME]``."""
        tables = self._tables.get(key, {})
        if not isinstance(tables, dict):
            self.fault(key, "", format_value(tables), f"tables [{key}.NAME]")
            return []
        return [
            (f"{key}.{name}", name, dict(table))
            for name, table in tables.items()
            if self._is_table(f"{key}.{name}", table)
        ]

    def table_array(self, key: str) -> list[tuple[str, dict[str, Any]]]:
        """Return path and content of each table ``[[KEY]]``; paths count from 0."""
        tables = self._tables.get(key, [])
        if not isinstance(tables, list):
            self.fault(key, "", format_value(tables), f"tables [[{key}]]")
            return []
        return [
            (f"{key}.{index}", dict(table))
            for index, table in enumerate(tables)
            if self._is_table(f"{key}.{index}", table)
        ]

    def _is_table(self, place: str, table: object) -> bool:
        if isinstance(table, dict):
            return True
        self.fault(place, "", format_value(table), "a table")
        return False
