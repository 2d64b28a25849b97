"""``guavapin publish``: publish a set of objects as one generation."""

from __future__ import annotations

import uuid
from pathlib import Path
from typing import TYPE_CHECKING

from guavapin.console import base_generation
from guavapin.console.exit_codes import ExitCode
from guavapin.objects.codec import decode_path
from guavapin.objects.codec import encode_text
from guavapin.operators.configuration_calls import PublishBody
from guavapin.operators.configuration_calls import RollbackBody

if TYPE_CHECKING:
    import argparse
    from typing import Any

    from guavapin.console.command import Console

DEFAULT_WAIT_MS = 7_000


class PublishCommand:
    """Publish a TOML file or directory, or roll back to an older generation."""

    name = "publish"
    summary = "publish a set of objects as one new generation"
    description = """\
Publish a TOML file or a directory of TOML files as the whole set of objects. The set
is checked as one and takes effect as one, or not at all. Changes that others published
since the files were read are merged object by object; a change to the same object is a
conflict (exit code 4) that shows both sides.

  guavapin get > objects.toml
  $EDITOR objects.toml
  guavapin publish objects.toml --reason "more bag labels" --wait
"""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Declare the path and the options."""
        parser.add_argument("path", type=Path, nargs="?", help="TOML file or directory")
        parser.add_argument(
            "--base",
            type=int,
            default=None,
            help="generation that the files were made from (default: as noted in them)",
        )
        parser.add_argument(
            "--rollback", type=int, metavar="GENERATION", help="go back to its content"
        )
        parser.add_argument("--reason", default="", help="why; kept in the audit trail")
        parser.add_argument(
            "--wait",
            action="store_true",
            help="return when it is in force everywhere, or name who lags (exit 5)",
        )
        parser.add_argument("--wait-ms", type=int, default=DEFAULT_WAIT_MS)

    def run(self, args: argparse.Namespace, console: Console) -> ExitCode:
        """Send the publication."""
        wait_ms = args.wait_ms if args.wait else 0
        if args.rollback is not None:
            return _roll_back(args, console, wait_ms)
        if args.path is None:
            return console.fail("publish needs a path", ExitCode.BAD_INPUT)
        objects = decode_path(args.path)
        if isinstance(objects, tuple):
            for fault in objects:
                print(fault, file=console.stderr)
            return console.fail(f"{len(objects)} faults found", ExitCode.BAD_INPUT)
        base = (
            args.base
            if args.base is not None
            else base_generation.find_generation(args.path)
        )
        if base is None:
            text = "the files name no generation; give --base (0 for the first)"
            return console.fail(text, ExitCode.BAD_INPUT)
        body = PublishBody(
            base, encode_text(objects), args.reason, str(uuid.uuid4()), wait_ms
        )
        outcome = console.client.post("/operator/v1/publish", body)
        return console.finish(outcome, _describe)


def _roll_back(args: argparse.Namespace, console: Console, wait_ms: int) -> ExitCode:
    if args.base is None:
        text = "--rollback needs --base, the newest generation that you have seen"
        return console.fail(text, ExitCode.BAD_INPUT)
    body = RollbackBody(
        args.base, args.rollback, args.reason, str(uuid.uuid4()), wait_ms
    )
    outcome = console.client.post("/operator/v1/rollback", body)
    return console.finish(outcome, _describe)


def _describe(body: Any) -> str:
    lagging = body["lagging"]
    if lagging:
        return f"generation {body['generation']}; not yet at {', '.join(lagging)}"
    return f"generation {body['generation']}, in force after {body['waited_ms']} ms"
