"""``python -m guavapin_demo``: run the demo and print its tables."""

from __future__ import annotations

import argparse
import sys

import msgspec

from guavapin.metrics.logs import configure_logs
from guavapin_demo.parts import Part
from guavapin_demo.parts import render_parts
from guavapin_demo.parts import run_parts
from guavapin_demo.sites import SITES


def main() -> int:
    """Run the demo; exit with 1 when a promise was broken."""
    parser = argparse.ArgumentParser("guavapin_demo", description=__doc__)
    parser.add_argument(
        "--part",
        choices=[part.value for part in Part],
        default=Part.ALL.value,
        help="requests through entry hosts, jobs on the users' platform, or both",
    )
    parser.add_argument("--site", choices=sorted(SITES), default="gagnon")
    parser.add_argument("--seed", type=int, default=1, help="repeats a run's choices")
    parser.add_argument("--output", choices=("table", "json"), default="table")
    args = parser.parse_args()
    configure_logs("error", "demo")
    reports = run_parts(Part(args.part), args.site, args.seed)
    if args.output == "json":
        print(msgspec.json.encode(reports).decode())
    else:
        print(render_parts(reports))
    return 1 if reports.is_broken else 0


if __name__ == "__main__":
    sys.exit(main())
