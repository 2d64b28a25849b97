"""``guavapin undrain``: return a drained host to service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.console.commands.fleet_change import add_reason
from guavapin.console.commands.fleet_change import send_change

if TYPE_CHECKING:
    import argparse

    from guavapin.console.command import Console
    from guavapin.console.exit_codes import ExitCode


class UndrainCommand:
    """Undrain one host."""

    name = "undrain"
    summary = "return a drained host to service"
    description = """\
Return a drained host, or one whose maintenance failed and was repaired,
to the service of its pool.
"""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Declare the host and the reason."""
        parser.add_argument("host", help="name of the host")
        add_reason(parser)

    def run(self, args: argparse.Namespace, console: Console) -> ExitCode:
        """Ask an entry host to undrain the host."""
        return send_change(console, f"/hosts/{args.host}/undrain", args.reason)
