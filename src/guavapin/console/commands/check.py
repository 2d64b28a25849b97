"""``guavapin check``: check objects on this machine, without an entry host."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from guavapin.console.exit_codes import ExitCode
from guavapin.objects.check import check
from guavapin.objects.codec import decode_path
from guavapin.objects.kinds import count_objects

if TYPE_CHECKING:
    import argparse

    from guavapin.console.command import Console
    from guavapin.objects.model import Fault


class CheckCommand:
    """Check a TOML file or a directory of them."""

    name = "check"
    summary = "check objects for consistency, without publishing them"
    description = (
        "Check a TOML file or a directory of TOML files as one whole set.\n"
        "Every fault is reported at once, with object, field, value and what was\n"
        "expected. Exits with 2 when there are faults."
    )

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Declare the path."""
        parser.add_argument("path", type=Path, help="TOML file or directory")

    def run(self, args: argparse.Namespace, console: Console) -> ExitCode:
        """Check the objects at the path."""
        objects = decode_path(args.path)
        if isinstance(objects, tuple):
            return _report(objects, console)
        faults = check(objects)
        if faults:
            return _report(faults, console)
        result = {"objects": count_objects(objects), "faults": []}
        console.show(result, lambda body: f"{body['objects']} objects, no faults")
        return ExitCode.DONE


def _report(faults: tuple[Fault, ...], console: Console) -> ExitCode:
    texts = [str(fault) for fault in faults]
    if console.output == "json":
        console.show({"faults": texts}, str)
    else:
        for text in texts:
            print(text, file=console.stderr)
    return console.fail(f"{len(texts)} faults found", ExitCode.BAD_INPUT)
