"""A cell of the matrix, its outcome, and what a procedure provides to run one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from guavapin_matrix.faults import Fault


@dataclass(frozen=True, slots=True)
class Step:
    """A column: a step of a procedure, in the code's own word.

    `variant` names a course of the procedure that reaches steps which the usual one
    does not, such as a host whose reboot fails. The faults hit `delay_ms` after the
    step was first seen.
    """

    procedure: str
    name: str
    variant: str = ""
    delay_ms: int = 0

    @property
    def title(self) -> str:
        """Return the step's name with its delay."""
        return f"{self.name} +{self.delay_ms} ms" if self.delay_ms else self.name

    def __str__(self) -> str:
        variant = f"({self.variant})" if self.variant else ""
        return f"{self.procedure}{variant}/{self.title}"


@dataclass(frozen=True, slots=True)
class Cell:
    """Faults that hit at one step; no fault is the base run."""

    step: Step
    faults: tuple[Fault, ...]
    seed: int

    def __str__(self) -> str:
        names = "+".join(fault.name.lower() for fault in self.faults) or "none"
        return f"{self.step} {names}"


@dataclass(frozen=True, slots=True)
class CellResult:
    """What one run showed; `reached` holds all steps that the run went through."""

    cell: Cell
    violations: tuple[str, ...]
    is_injected: bool
    reached: frozenset[str]


class Procedure(Protocol):
    """One of the procedures: its steps, and a run with faults at one of them."""

    @property
    def name(self) -> str:
        """Return the procedure's name."""
        ...

    @property
    def pair_divisor(self) -> int:
        """Return how many pairs of different faults there are for each one run."""
        ...

    def steps(self) -> tuple[Step, ...]:
        """Return the columns, made from the members of the code's own enum."""
        ...

    def required_steps(self) -> frozenset[str]:
        """Return the values of the code's own enum, each of which needs a column."""
        ...

    def run(self, cell: Cell) -> CellResult:
        """Run the procedure once and check the guarantees that concern it."""
        ...
