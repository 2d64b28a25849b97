"""A cell of the matrix, its result, and the interface of a procedure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from guavapin_matrix.faults import Fault


@dataclass(frozen=True, slots=True)
class Step:
    """A column of the matrix: a step of a procedure, named as in the product's enum.

    `variant` names a course of the procedure that reaches steps that the usual course
    does not, such as a host whose reboot fails. The faults are injected `delay_ms`
    after the step was first observed.
    """

    procedure: str
    name: str
    variant: str = ""
    delay_ms: int = 0

    @property
    def title(self) -> str:
        """Return the step's name and its delay, if any."""
        return f"{self.name} +{self.delay_ms} ms" if self.delay_ms else self.name

    def __str__(self) -> str:
        variant = f"({self.variant})" if self.variant else ""
        return f"{self.procedure}{variant}/{self.title}"


@dataclass(frozen=True, slots=True)
class Cell:
    """A run with faults that are injected at one step; without faults, the base run."""

    step: Step
    faults: tuple[Fault, ...]
    seed: int

    def __str__(self) -> str:
        names = "+".join(fault.name.lower() for fault in self.faults) or "none"
        return f"{self.step} {names}"


@dataclass(frozen=True, slots=True)
class CellResult:
    """The result of one run.

    `reached` holds all steps that the run went through. `is_injected` is false if the
    run never reached the step of the cell.
    """

    cell: Cell
    violations: tuple[str, ...]
    is_injected: bool
    reached: frozenset[str]


class Procedure(Protocol):
    """A procedure of the product that the matrix runs with faults at its steps."""

    @property
    def name(self) -> str:
        """Return the procedure's name."""
        ...

    @property
    def pair_divisor(self) -> int:
        """Return n if one in n pairs of different faults is run."""
        ...

    def steps(self) -> tuple[Step, ...]:
        """Return the columns, made from the members of the product's enum."""
        ...

    def required_steps(self) -> frozenset[str]:
        """Return the values of the product's enum, each of which needs a column."""
        ...

    def run(self, cell: Cell) -> CellResult:
        """Run the procedure once and check the guarantees that apply to it."""
        ...
