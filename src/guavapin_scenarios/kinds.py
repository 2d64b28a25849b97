"""How a script's table becomes a step, a condition or a check."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from guavapin.objects.fields import FieldRule


@dataclass(frozen=True, slots=True)
class KindSpec:
    """One kind of step, condition or check.

    `rules` holds the rule of each key that the table may have, `required` the keys
    that it must have. `build` gets the accepted values as keyword arguments.
    """

    build: Callable[..., Any]
    rules: Mapping[str, FieldRule] = field(default_factory=dict)
    required: frozenset[str] = frozenset()
