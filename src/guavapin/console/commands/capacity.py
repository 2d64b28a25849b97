"""``guavapin capacity``: what each pool is promised, holds and could spare."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.console.render import render_table

if TYPE_CHECKING:
    import argparse
    from typing import Any

    from guavapin.console.command import Console
    from guavapin.console.exit_codes import ExitCode


class CapacityCommand:
    """Show the capacity of each pool and the cost of each growth plan."""

    name = "capacity"
    summary = "show what each pool is promised, holds and could spare, and why"
    description = """\
Show for each pool the hosts that its budget promises, what it holds and needs, its
spare hosts, and what one host fewer would break; then, for each growth plan, what it
costs to hold hosts for the surge against borrowing them.
"""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Declare the pool."""
        parser.add_argument("pool", nargs="?", help="show one pool with its reasons")

    def run(self, args: argparse.Namespace, console: Console) -> ExitCode:
        """Read and render the capacity."""
        outcome = console.client.get("/operator/v1/capacity")
        if args.pool:
            return console.finish(outcome, lambda body: _one_pool(body, args.pool))
        return console.finish(outcome, _all_pools)


def _all_pools(body: Any) -> str:
    columns = ("pool", "promised", "held", "needed", "spare", "one_fewer")
    rows = [tuple(line[column] for column in columns) for line in body["pools"]]
    text = render_table((*columns[:-1], "one host fewer breaks"), rows)
    if not body["growth_plans"]:
        return text
    names = ("plan", "pool", "hosts", "holding_cost", "borrowing_cost", "advice")
    plans = [tuple(plan[name] for name in names) for plan in body["growth_plans"]]
    return f"{text}\n\n{render_table(names, plans)}"


def _one_pool(body: Any, pool: str) -> str:
    for line in body["pools"]:
        if line["pool"] == pool:
            reasons = [f"  {reason}" for reason in line["reasons"]]
            head = f"{pool}: holds {line['held']}, needs {line['needed']} hosts"
            last = f"one host fewer breaks: {line['one_fewer']}"
            return "\n".join([head, *reasons, last])
    return f"no pool is named {pool!r}"
