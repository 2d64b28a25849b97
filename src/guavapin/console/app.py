"""Entry point of the operators' command line, ``guavapin``."""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING

from guavapin.console.command import DEFAULT_URL
from guavapin.console.command import build_console
from guavapin.console.commands.audit import AuditCommand
from guavapin.console.commands.capacity import CapacityCommand
from guavapin.console.commands.check import CheckCommand
from guavapin.console.commands.drain import DrainCommand
from guavapin.console.commands.explain import ExplainCommand
from guavapin.console.commands.get import GetCommand
from guavapin.console.commands.move import MoveCommand
from guavapin.console.commands.publish import PublishCommand
from guavapin.console.commands.scheduling import SchedulingCommand
from guavapin.console.commands.status import StatusCommand
from guavapin.console.commands.undrain import UndrainCommand
from guavapin.console.commands.wave import WaveCommand
from guavapin.console.commands.where import WhereCommand

if TYPE_CHECKING:
    from collections.abc import Sequence

    from guavapin.console.command import Command
    from guavapin.console.exit_codes import ExitCode

DEFAULT_TIMEOUT_MS = 30_000

DESCRIPTION = """\
Operate guavapin: edit objects, publish them, run maintenance, see every promise.

Objects (pools, hosts, services, availability budgets, maintenance waves, team quotas,
availability zones, growth plans) are TOML tables that refer to one another by name.
"""

EPILOG = f"""\
environment:
  GUAVAPIN_URL    operators' address of an entry host (default {DEFAULT_URL})
  GUAVAPIN_TOKEN  bearer token

exit codes:
  0 done   1 refused, or a promise is broken   2 bad input
  3 entry host unreachable   4 conflict   5 timeout
"""

COMMANDS: tuple[Command, ...] = (
    CheckCommand(),
    PublishCommand(),
    GetCommand(),
    StatusCommand(),
    DrainCommand(),
    UndrainCommand(),
    MoveCommand(),
    WaveCommand(),
    AuditCommand(),
    CapacityCommand(),
    ExplainCommand(),
    SchedulingCommand(),
    WhereCommand(),
)


def build_parser(commands: Sequence[Command] = COMMANDS) -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    shared = _shared_options()
    parser = argparse.ArgumentParser(
        prog="guavapin",
        description=DESCRIPTION,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for command in commands:
        subparser = subparsers.add_parser(
            command.name,
            help=command.summary,
            description=command.description,
            parents=[shared],
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        command.configure(subparser)
        subparser.set_defaults(run=command.run)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    args = build_parser().parse_args(argv)
    code: ExitCode = args.run(args, build_console(args))
    return int(code)


def _shared_options() -> argparse.ArgumentParser:
    shared = argparse.ArgumentParser(add_help=False)
    group = shared.add_argument_group("connection and output")
    group.add_argument("--url", default="", help="operators' address of an entry host")
    group.add_argument("--output", choices=("table", "json"), default="table")
    group.add_argument("--ca-file", default="", help="certificates to trust")
    group.add_argument("--cert-file", default="", help="client certificate")
    group.add_argument("--key-file", default="", help="key of the client certificate")
    group.add_argument(
        "--timeout-ms", type=int, default=DEFAULT_TIMEOUT_MS, help="bound of the call"
    )
    return shared


if __name__ == "__main__":
    sys.exit(main())
