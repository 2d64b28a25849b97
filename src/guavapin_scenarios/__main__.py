"""``python -m guavapin_scenarios FILE... --seed N [--output json|table]``."""

from __future__ import annotations

import argparse
import logging
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from guavapin_scenarios.reader import load_scenario
from guavapin_scenarios.runner import run_scenario

if TYPE_CHECKING:
    from collections.abc import Sequence

    from guavapin_scenarios.runner import Report

EXIT_DONE = 0
EXIT_VIOLATED = 1
EXIT_BAD_INPUT = 2


def main(argv: Sequence[str] | None = None) -> int:
    """Run the scripts in order; return 1 if one fails, 2 if one cannot be read."""
    parser = argparse.ArgumentParser("guavapin_scenarios", description=__doc__)
    parser.add_argument("files", nargs="+", type=Path, metavar="FILE")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", choices=("table", "json"), default="table")
    args = parser.parse_args(argv)
    logging.basicConfig(level=logging.ERROR, stream=sys.stderr)
    scenarios = [load_scenario(path) for path in args.files]
    faults = [item for found in scenarios if isinstance(found, tuple) for item in found]
    if faults:
        for fault in faults:
            print(f"guavapin_scenarios: {fault}", file=sys.stderr)
        return EXIT_BAD_INPUT
    reports = []
    for scenario in scenarios:
        assert not isinstance(scenario, tuple)
        with tempfile.TemporaryDirectory() as folder:
            report = run_scenario(scenario, args.seed, Path(folder))
        reports.append(report)
        if args.output == "table":
            print(render(report), flush=True)
    if args.output == "json":
        print(encode(reports))
    return EXIT_DONE if all(report.is_ok for report in reports) else EXIT_VIOLATED


def encode(reports: list[Report]) -> str:
    """Return the reports as a JSON array; `is_ok` is added to each as its verdict."""
    items = [{**msgspec.to_builtins(item), "is_ok": item.is_ok} for item in reports]
    return msgspec.json.encode(items).decode()


def render(report: Report) -> str:
    """Return a report as lines of text: verdict, steps, answer counts, checks."""
    verdict = "holds" if report.is_ok else "FAILED"
    lines = [
        f"{report.file}: {report.name}: {verdict} "
        f"(seed {report.seed}, {report.elapsed_ms / 1_000:.1f} s)"
    ]
    for step in report.steps:
        mark = "ok" if step.is_ok else "FAILED"
        at_s = step.at_ms / 1_000
        lines.append(f"  {at_s:7.1f} s {step.step}: {mark}: {step.detail}")
    counts = ", ".join(f"{count} {word}" for word, count in report.answers.items())
    lines.append(f"  answers: {counts or 'none'}")
    for check in report.checks:
        lines.append(f"  {'holds ' if not check.faults else 'FAILED'} {check.that}")
        lines.extend(f"         {fault}" for fault in check.faults)
    if report.failure:
        lines.append(f"  FAILED processes ended: {report.failure}")
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main())
