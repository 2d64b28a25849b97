"""Runs the fault matrix and prints its table."""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

from guavapin_matrix.known_red import FILE
from guavapin_matrix.known_red import is_known
from guavapin_matrix.known_red import parse_known_red
from guavapin_matrix.matrix import run_matrix
from guavapin_matrix.procedures import PROCEDURES
from guavapin_matrix.table import render
from guavapin_matrix.table import summary

PAGE = Path("docs/fault-matrix.md")


def main(arguments: list[str] | None = None) -> int:
    """Run the matrix; return 1 for a gap or a red cell that KNOWN-RED.txt lacks."""
    parser = argparse.ArgumentParser(prog="guavapin_matrix", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--procedure", choices=sorted(PROCEDURES), action="append")
    parser.add_argument("--write", action="store_true", help=f"write {PAGE}")
    options = parser.parse_args(arguments)
    names = options.procedure or list(PROCEDURES)
    began = time.monotonic()
    listed = Path(FILE)
    known = parse_known_red(listed.read_text() if listed.exists() else "")
    result = run_matrix([PROCEDURES[name] for name in names], options.seed, known)
    print(render(result, options.seed))
    unexpected = 0
    for item in result.red:
        mark = "KNOWN RED" if is_known(item.cell, known) else "RED"
        unexpected += mark == "RED"
        seen = "; ".join(item.violations) or "the step was not reached"
        print(f"{mark} {item.cell} seed {item.cell.seed}: {seen}")
    for gap in result.gaps:
        print(f"GAP {gap}")
    print(summary(result), f"{time.monotonic() - began:.1f} s")
    if options.write:
        PAGE.write_text(render(result, options.seed))
    return 1 if unexpected or result.gaps else 0


if __name__ == "__main__":
    sys.exit(main())
