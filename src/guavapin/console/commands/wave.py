"""``guavapin wave``: start, pause, resume or abort a maintenance wave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.console.commands.fleet_change import add_reason
from guavapin.console.commands.fleet_change import send_change

if TYPE_CHECKING:
    import argparse

    from guavapin.console.command import Console
    from guavapin.console.exit_codes import ExitCode

ACTIONS = ("start", "pause", "resume", "abort")


class WaveCommand:
    """Control one maintenance wave."""

    name = "wave"
    summary = "start, pause, resume or abort a maintenance wave"
    description = """\
Control a published maintenance wave. Pausing starts no further host and finishes
those in progress; aborting returns hosts that have not been rebooted yet.
"""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Declare the action, the wave and the reason."""
        parser.add_argument("action", choices=ACTIONS)
        parser.add_argument("wave", help="name of the wave")
        add_reason(parser)

    def run(self, args: argparse.Namespace, console: Console) -> ExitCode:
        """Ask an entry host to act on the wave."""
        return send_change(console, f"/waves/{args.wave}/{args.action}", args.reason)
