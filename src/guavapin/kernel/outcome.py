"""Outcomes as values: an operation returns `Ok` or `Refused`, it does not raise.

Exceptions are reserved for broken invariants, which stop the process.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Generic
from typing import TypeAlias
from typing import TypeVar

T = TypeVar("T")


class Reason(Enum):
    """Why an operation was refused; the values are stable words for logs and APIs."""

    BAD_INPUT = "bad_input"
    BUDGET = "budget"
    CONFLICT = "conflict"
    CUT_OFF = "cut_off"
    DEADLINE = "deadline"
    DUPLICATE = "duplicate"
    FENCED = "fenced"
    FORBIDDEN = "forbidden"
    LEAVING = "leaving"
    MISSING = "missing"
    NO_CAPACITY = "no_capacity"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    QUOTA = "quota"
    RATE_LIMITED = "rate_limited"
    START_FAILED = "start_failed"
    STOPPING = "stopping"
    TIMEOUT = "timeout"
    TOO_LARGE = "too_large"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class Ok(Generic[T]):
    """The operation succeeded with `value`."""

    value: T


@dataclass(frozen=True, slots=True)
class Refused:
    """The operation was not done; `detail` names object, field, value, expectation."""

    reason: Reason
    detail: str = ""

    def __str__(self) -> str:
        return (
            f"{self.reason.value}: {self.detail}" if self.detail else self.reason.value
        )


Outcome: TypeAlias = Ok[T] | Refused


class InvariantError(RuntimeError):
    """A broken invariant; the process must stop."""
