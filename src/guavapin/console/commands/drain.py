"""``guavapin drain``: take a host out of service until it is undrained."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.console.commands.fleet_change import add_reason
from guavapin.console.commands.fleet_change import send_change

if TYPE_CHECKING:
    import argparse

    from guavapin.console.command import Console
    from guavapin.console.exit_codes import ExitCode


class DrainCommand:
    """Drain one host."""

    name = "drain"
    summary = "take a host out of service until it is undrained"
    description = """\
Take a host out of service. Its place is first taken in the availability
budget of its pool; when the budget does not allow it, nothing changes and the
exit code is 4. Work in progress on the host is finished.
"""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Declare the host and the reason."""
        parser.add_argument("host", help="name of the host")
        add_reason(parser)

    def run(self, args: argparse.Namespace, console: Console) -> ExitCode:
        """Ask an entry host to drain the host."""
        return send_change(console, f"/hosts/{args.host}/drain", args.reason)
