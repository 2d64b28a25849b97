"""``guavapin audit``: who changed what, when and why."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING

from guavapin.console.render import render_table

if TYPE_CHECKING:
    import argparse
    from typing import Any

    from guavapin.console.command import Console
    from guavapin.console.exit_codes import ExitCode

FILTERS = ("actor", "action", "object")
MAX_CELL_LENGTH = 40


class AuditCommand:
    """Read the audit trail."""

    name = "audit"
    summary = "show who changed what, when and why"
    description = """\
Show the audit trail, newest first: publications and every action on the fleet, of
operators and of the system itself. Filters combine; an action also matches by the
part before its dot ("move" matches "move.start").
"""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Declare the filters."""
        for name in FILTERS:
            parser.add_argument(f"--{name}", default="", help=f"only this {name}")
        parser.add_argument("--since-ms", type=int, default=0, help="wall time")
        parser.add_argument("--until-ms", type=int, default=0, help="wall time")
        parser.add_argument("--limit", type=int, default=50)

    def run(self, args: argparse.Namespace, console: Console) -> ExitCode:
        """Read and render the entries."""
        query = {name: getattr(args, name) for name in FILTERS}
        query |= {
            "since_ms": str(max(args.since_ms, 0)),
            "until_ms": str(max(args.until_ms, 0)),
            "limit": str(max(args.limit, 1)),
        }
        return console.finish(console.client.get("/operator/v1/audit", query), _table)


def _table(body: Any) -> str:
    columns = ("time", "actor", "action", "object", "generation", "change", "reason")
    return render_table(columns, [_row(entry) for entry in body["entries"]])


def _row(entry: Any) -> tuple[object, ...]:
    time = datetime.fromtimestamp(entry["wall_ms"] / 1_000, UTC)
    return (
        time.strftime("%Y-%m-%d %H:%M:%S"),
        entry["actor"],
        entry["action"],
        entry["object"],
        entry["generation"],
        f"{_truncate(entry['old'])} -> {_truncate(entry['new'])}",
        _truncate(entry["reason"]),
    )


def _truncate(text: str) -> str:
    return text if len(text) <= MAX_CELL_LENGTH else text[: MAX_CELL_LENGTH - 3] + "..."
