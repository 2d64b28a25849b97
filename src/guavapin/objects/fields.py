"""Rules for the values of fields that come from TOML; used by objects and settings.

A rule returns an accepted value in its final form, or None for a refused one. TOML has
no null, so None is never an accepted value.
"""

from __future__ import annotations

import ipaddress
import math
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_NAME_LENGTH = 63
MAX_SHOWN_LENGTH = 80
# TOML integers are 64-bit signed, although the parser accepts larger ones.
MAX_SHOWN_INTEGER = 2**63

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class FieldRule(Protocol):
    """Accepts or refuses the value of one field."""

    @property
    def expected(self) -> str:
        """Return a description of the accepted values, for error messages."""
        ...

    def read(self, value: object) -> object | None:
        """Return the accepted value, or None."""
        ...


@dataclass(frozen=True, slots=True)
class NameRule:
    """A name of an object; the empty text is accepted only if `may_be_empty`."""

    may_be_empty: bool = False

    @property
    def expected(self) -> str:
        return (
            f"a name of 1 to {MAX_NAME_LENGTH} letters, digits, '.', '_' or '-', "
            "beginning with a letter or digit"
        )

    def read(self, value: object) -> object | None:
        if value == "" and self.may_be_empty:
            return value
        return value if is_name(value) else None


@dataclass(frozen=True, slots=True)
class TextRule:
    """Printable text of bounded length, with an optional pattern."""

    description: str
    max_length: int = 256
    pattern: str = ""

    @property
    def expected(self) -> str:
        return f"{self.description}, at most {self.max_length} characters"

    def read(self, value: object) -> object | None:
        if not isinstance(value, str) or len(value) > self.max_length:
            return None
        if not value.isprintable():
            return None
        if self.pattern and re.fullmatch(self.pattern, value) is None:
            return None
        return value


@dataclass(frozen=True, slots=True)
class ChoiceRule:
    """One of a few words."""

    choices: tuple[str, ...]

    @property
    def expected(self) -> str:
        return "one of " + ", ".join(self.choices)

    def read(self, value: object) -> object | None:
        return value if isinstance(value, str) and value in self.choices else None


@dataclass(frozen=True, slots=True)
class IntegerRule:
    """An integer from `least` to `most`, both included."""

    least: int
    most: int

    @property
    def expected(self) -> str:
        return f"an integer from {self.least} to {self.most}"

    def read(self, value: object) -> object | None:
        if not isinstance(value, int) or isinstance(value, bool):
            return None
        return value if self.least <= value <= self.most else None


@dataclass(frozen=True, slots=True)
class NumberRule:
    """A finite number from `least` to `most`; an integer is converted to a float."""

    least: float
    most: float

    @property
    def expected(self) -> str:
        return f"a number from {self.least:g} to {self.most:g}"

    def read(self, value: object) -> object | None:
        if not isinstance(value, int | float) or isinstance(value, bool):
            return None
        if isinstance(value, float) and not math.isfinite(value):
            return None
        return float(value) if self.least <= value <= self.most else None


@dataclass(frozen=True, slots=True)
class BooleanRule:
    """A boolean."""

    @property
    def expected(self) -> str:
        return "true or false"

    def read(self, value: object) -> object | None:
        return value if isinstance(value, bool) else None


@dataclass(frozen=True, slots=True)
class NamesRule:
    """An array of names, without repetition."""

    max_items: int = 1_000

    @property
    def expected(self) -> str:
        return f"an array of at most {self.max_items} different names"

    def read(self, value: object) -> object | None:
        if not isinstance(value, list) or len(value) > self.max_items:
            return None
        if not all(is_name(item) for item in value):
            return None
        return tuple(value) if len(set(value)) == len(value) else None


@dataclass(frozen=True, slots=True)
class AddressRule:
    """An address ``IP:PORT``, with an IPv6 address in brackets."""

    may_be_empty: bool = False

    @property
    def expected(self) -> str:
        return "IP:PORT, for example 127.0.0.1:8080 or [::1]:8080"

    def read(self, value: object) -> object | None:
        if value == "" and self.may_be_empty:
            return value
        if not isinstance(value, str) or split_address(value) is None:
            return None
        return value


@dataclass(frozen=True, slots=True)
class Problem:
    """A field that was refused by its rule, is unknown or is missing."""

    field: str
    found: str
    expected: str


def is_name(value: object) -> bool:
    """Return whether `value` is a well-formed name of an object."""
    return isinstance(value, str) and _NAME.fullmatch(value) is not None


def split_address(text: str) -> tuple[str, int] | None:
    """Return the IP address and port of ``IP:PORT``, or None if it is malformed."""
    if len(text) > 64:
        return None
    host, separator, port = text.rpartition(":")
    if not separator or not re.fullmatch(r"[0-9]{1,5}", port):
        return None
    if host.startswith("[") != host.endswith("]"):
        return None
    is_bracketed = host.startswith("[")
    try:
        address = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return None
    if is_bracketed != (address.version == 6) or not 1 <= int(port) <= 65_535:
        return None
    return str(address), int(port)


def format_value(value: object) -> str:
    """Return a short text for a TOML value of any size; never raises."""
    if isinstance(value, dict):
        return f"a table of {len(value)} keys"
    if isinstance(value, list):
        return f"an array of {len(value)} items"
    if isinstance(value, int) and abs(value) > MAX_SHOWN_INTEGER:
        return "an integer beyond 64 bits"
    text = repr(value[:MAX_SHOWN_LENGTH] if isinstance(value, str) else value)
    return text if len(text) <= MAX_SHOWN_LENGTH else text[:MAX_SHOWN_LENGTH] + "..."


def read_fields(
    table: Mapping[str, object],
    rules: Mapping[str, FieldRule],
    required: frozenset[str],
) -> tuple[dict[str, object], tuple[Problem, ...]]:
    """Return the accepted values by field and every problem of `table`."""
    values: dict[str, object] = {}
    problems: list[Problem] = []
    for key, value in table.items():
        rule = rules.get(key)
        if rule is None:
            known = ", ".join(sorted(rules))
            problems.append(
                Problem(format_value(key)[1:-1], format_value(value), f"one of {known}")
            )
            continue
        accepted = rule.read(value)
        if accepted is None:
            problems.append(Problem(key, format_value(value), rule.expected))
        else:
            values[key] = accepted
    problems.extend(
        Problem(key, "missing", rules[key].expected)
        for key in sorted(required - table.keys())
    )
    return values, tuple(problems)
