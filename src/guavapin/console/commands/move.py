"""``guavapin move``: move a host to another pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.console.commands.fleet_change import add_reason
from guavapin.console.commands.fleet_change import send_change

if TYPE_CHECKING:
    import argparse

    from guavapin.console.command import Console
    from guavapin.console.exit_codes import ExitCode


class MoveCommand:
    """Move one host."""

    name = "move"
    summary = "move a host to another pool"
    description = """\
Move a host to another pool: it is drained, released, joins the other pool and
serves there. The budget of the pool that it leaves must allow it.
"""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Declare the host, the pool and the reason."""
        parser.add_argument("host", help="name of the host")
        parser.add_argument("pool", nargs="?", default="", help="target pool")
        parser.add_argument(
            "--undo", action="store_true", help="give up a move that is in progress"
        )
        add_reason(parser)

    def run(self, args: argparse.Namespace, console: Console) -> ExitCode:
        """Ask an entry host to move the host."""
        action = "undo-move" if args.undo else "move"
        path = f"/hosts/{args.host}/{action}"
        return send_change(console, path, args.reason, args.pool)
