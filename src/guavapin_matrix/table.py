"""Renders the matrix in Markdown, with a row for each fault and a column per step."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING

from guavapin_matrix.faults import Fault

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavapin_matrix.cell import CellResult
    from guavapin_matrix.cell import Step
    from guavapin_matrix.matrix import MatrixResult

HEAD = """# Fault matrix

Every fault of section 1.5 of the design page at every step of the four procedures.
A cell shows passed/run: the fault alone, the fault twice, and the fault together with
another one at the same step. Each run ends with the checks of the guarantees of
section 1.2 that concern the procedure, made from outside: what the upstreams ran, what
the platform holds, what the callers got. Written by
`python -m guavapin_matrix --seed {seed} --write`.
"""


def render(result: MatrixResult, seed: int) -> str:
    """Return the whole page in Markdown."""
    lines = [HEAD.format(seed=seed)]
    groups: dict[str, list[CellResult]] = defaultdict(list)
    for item in result.results:
        step = item.cell.step
        groups[f"{step.procedure} {step.variant}".strip()].append(item)
    for title, items in groups.items():
        lines.append(f"## {title}\n")
        lines.extend(_table(items))
        lines.append("")
    lines.append(summary(result))
    return "\n".join(lines) + "\n"


def summary(result: MatrixResult) -> str:
    """Return the numbers of cells and results in one sentence."""
    kinds = Counter(_kind(item) for item in result.results)
    red = len(result.red)
    return (
        f"{len(result.results)} cells: {kinds['alone']} with a fault alone, "
        f"{kinds['twice']} with a fault twice, {kinds['pair']} with two faults; "
        f"{len(result.results) - red} passed, {red} red, {len(result.gaps)} gaps."
    )


def _kind(item: CellResult) -> str:
    faults = item.cell.faults
    if len(faults) == 1:
        return "alone"
    return "twice" if faults[0] is faults[1] else "pair"


def _table(items: list[CellResult]) -> Iterator[str]:
    steps: list[Step] = list(dict.fromkeys(item.cell.step for item in items))
    yield "| fault | " + " | ".join(step.title for step in steps) + " |"
    yield "|---" * (len(steps) + 1) + "|"
    counts: Counter[tuple[Fault, Step, bool]] = Counter()
    for item in items:
        is_red = bool(item.violations) or not item.is_injected
        for fault in set(item.cell.faults):
            counts[fault, item.cell.step, is_red] += 1
    for fault in Fault:
        shown = []
        for step in steps:
            passed, red = counts[fault, step, False], counts[fault, step, True]
            shown.append(f"{passed}/{passed + red}" + (" RED" if red else ""))
        yield f"| {fault.value} | " + " | ".join(shown) + " |"
