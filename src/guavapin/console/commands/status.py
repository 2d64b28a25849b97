"""``guavapin status``: broken promises, disruptions and waves in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.console.exit_codes import ExitCode
from guavapin.console.render import render_table
from guavapin.kernel.outcome import Ok

if TYPE_CHECKING:
    import argparse
    from typing import Any

    from guavapin.console.command import Console


class StatusCommand:
    """Show generations, budgets, disruptions and waves."""

    name = "status"
    summary = "show whether every promise is kept, and what is in hand"
    description = """\
Show the generation of each entry process, each pool's margin above its availability
budget, the disruptions in progress and the waves with what they wait for. Exits with 1
when a promise is broken now.
"""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Declare nothing; the command has no arguments."""

    def run(self, args: argparse.Namespace, console: Console) -> ExitCode:
        """Read and render the status."""
        outcome = console.client.get("/operator/v1/status")
        code = console.finish(outcome, _as_table)
        if code is ExitCode.DONE and isinstance(outcome, Ok):
            return ExitCode.REFUSED if outcome.value.body["broken"] else code
        return code


def _as_table(body: Any) -> str:
    parts = [_summary(body), _entries(body), _pools(body)]
    if body["disruptions"]:
        parts.append(_disruptions(body))
    if body["waves"]:
        parts.append(_waves(body))
    return "\n\n".join(parts)


def _summary(body: Any) -> str:
    promises = "all promises kept" if not body["broken"] else "; ".join(body["broken"])
    return f"generation {body['generation']} by {body['author'] or '-'}: {promises}"


def _entries(body: Any) -> str:
    rows = [
        (entry["name"], entry["zone"], entry["status"], entry["generation"])
        for entry in body["entries"]
    ]
    return render_table(("entry", "zone", "state", "generation"), rows)


def _pools(body: Any) -> str:
    columns = ("pool", "hosts", "available", "required", "margin")
    rows = [tuple(line[column] for column in columns) for line in body["pools"]]
    return render_table(columns, rows)


def _disruptions(body: Any) -> str:
    columns = ("host", "pool", "kind", "phase", "actor", "for_ms")
    rows = [tuple(line[column] for column in columns) for line in body["disruptions"]]
    return render_table(columns, rows)


def _waves(body: Any) -> str:
    columns = ("wave", "status", "done", "failed", "detail")
    rows = [tuple(item[column] for column in columns) for item in body["waves"]]
    return render_table(columns, rows)
