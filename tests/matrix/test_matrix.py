"""All selected cells of the matrix pass, except those listed in KNOWN-RED.txt."""

from __future__ import annotations

from enum import Enum
from pathlib import Path

import pytest

from guavapin_matrix import requests
from guavapin_matrix.cell import Cell
from guavapin_matrix.faults import Fault
from guavapin_matrix.known_red import FILE
from guavapin_matrix.known_red import is_known
from guavapin_matrix.known_red import parse_known_red
from guavapin_matrix.matrix import cells_of
from guavapin_matrix.matrix import find_gaps
from guavapin_matrix.matrix import run_matrix
from guavapin_matrix.procedures import PROCEDURES

SEED = 1
ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize("name", PROCEDURES)
def test_no_fault_breaks_a_guarantee(
    name: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a guarantee that breaks under some fault at some step."""
    known = parse_known_red((ROOT / FILE).read_text())
    result = run_matrix([PROCEDURES[name]], SEED, known)
    unexpected = []
    for item in result.red:
        if is_known(item.cell, known):
            with capsys.disabled():
                print(f"\nKNOWN RED {item.cell} seed {SEED}: {item.violations}")
        else:
            unexpected.append((str(item.cell), item.violations or "not reached"))
    assert unexpected == []
    assert result.gaps == ()


@pytest.mark.parametrize("name", PROCEDURES)
def test_same_seed_gives_the_same_run(name: str) -> None:
    """Guards against results that differ between runs with the same seed."""
    procedure = PROCEDURES[name]
    for step in procedure.steps():
        cell = Cell(step, (Fault.LEASE_LAPSES, Fault.ANSWER_LOST), SEED)
        assert procedure.run(cell) == procedure.run(cell)


@pytest.mark.parametrize("name", PROCEDURES)
def test_every_fault_has_cells_at_every_step(name: str) -> None:
    """Guards against a fault or a step without cells."""
    procedure = PROCEDURES[name]
    alone = {
        (cell.step, cell.faults[0])
        for cell in cells_of(procedure, SEED)
        if len(cell.faults) == 1
    }
    assert alone == {(step, fault) for step in procedure.steps() for fault in Fault}


def test_new_step_of_the_code_fails_the_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a new phase of the product that the matrix does not cover."""
    names = {phase.name: phase.value for phase in requests.Phase}
    extended = Enum("Phase", {**names, "REVIEWED": "reviewed"})  # type: ignore[misc]
    monkeypatch.setattr(requests, "Phase", extended)
    gaps = list(find_gaps(PROCEDURES["request"], SEED))
    assert any("reviewed" in gap for gap in gaps)
