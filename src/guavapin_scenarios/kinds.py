"""A kind of step, state or check: its class and the rules of its keys."""

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
    """`build` takes the accepted values of `rules` as keywords."""

    build: Callable[..., Any]
    rules: Mapping[str, FieldRule] = field(default_factory=dict)
    required: frozenset[str] = frozenset()
