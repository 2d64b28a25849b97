"""Measure the policies of routing, limits and retries in a queueing loop.

Run with ``python -m guavapin_bench.policies --seed 1``. Figures are ratios within one
run; only the processor times depend on the machine.
"""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING

from guavapin_bench import policies_failures
from guavapin_bench import policies_hedging
from guavapin_bench import policies_load
from guavapin_bench.policies_support import Scale

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

CASES: dict[str, Callable[[int, Scale], list[str]]] = {
    "head-of-line": policies_load.head_of_line,
    "overload": policies_load.overload,
    "urgent": policies_load.urgent,
    "failures": policies_failures.failures,
    "health-rules": policies_failures.health_rules,
    "pickers": policies_failures.pickers,
    "hedging": policies_hedging.hedging,
    "pick-cost": policies_load.pick_cost,
}


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the chosen cases and print their figures."""
    parser = argparse.ArgumentParser(prog="guavapin_bench.policies")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--case", choices=sorted(CASES), action="append")
    parser.add_argument(
        "--scale", type=float, default=1.0, help="factor on the length of the runs"
    )
    args = parser.parse_args(arguments)
    for name in args.case or CASES:
        print(f"## {name} (seed {args.seed}, scale {args.scale})")
        for line in CASES[name](args.seed, Scale(args.scale)):
            print(line)
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
