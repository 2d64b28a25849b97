"""``python -m guavapin_demo``: run the demo and print its table."""

from __future__ import annotations

import argparse
import sys

import msgspec

from guavapin.metrics.logs import configure_logs
from guavapin_demo.report import render_report
from guavapin_demo.run import DemoRun
from guavapin_demo.sites import SITES


def main() -> int:
    """Run the demo; exit with 1 when a promise was broken."""
    parser = argparse.ArgumentParser("guavapin_demo", description=__doc__)
    parser.add_argument("--site", choices=sorted(SITES), default="gagnon")
    parser.add_argument("--seed", type=int, default=1, help="repeats a run's choices")
    parser.add_argument("--output", choices=("table", "json"), default="table")
    args = parser.parse_args()
    configure_logs("error", "demo")
    demo = DemoRun(
        SITES[args.site], args.seed, lambda line: print(line, file=sys.stderr)
    )
    report = demo.run()
    if args.output == "json":
        print(msgspec.json.encode(report).decode())
    else:
        print(render_report(report))
    return 1 if report.broken else 0


if __name__ == "__main__":
    sys.exit(main())
