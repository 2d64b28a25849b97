"""Protocol of the console commands, which are thin wrappers of the library."""

from __future__ import annotations

import os
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.console.client import OperatorsClient
from guavapin.console.exit_codes import ExitCode
from guavapin.console.exit_codes import exit_code_of_status
from guavapin.console.render import render_json
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable
    from typing import Any
    from typing import TextIO

    from guavapin.console.client import Answer
    from guavapin.kernel.outcome import Outcome

DEFAULT_URL = "http://127.0.0.1:7081"


class Command(Protocol):
    """One console command, registered by its name in `guavapin.console.app`."""

    name: str
    summary: str
    description: str

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments of the command."""
        ...

    def run(self, args: argparse.Namespace, console: Console) -> ExitCode:
        """Execute the command and render its outcome."""
        ...


@dataclass(frozen=True, slots=True)
class Console:
    """The client of a command, and the streams that it writes its outcome to."""

    client: OperatorsClient
    output: str
    stdout: TextIO
    stderr: TextIO

    def show(self, body: object, as_table: Callable[[Any], str]) -> None:
        """Print `body` as JSON or by `as_table`, depending on `output`."""
        text = render_json(body) if self.output == "json" else as_table(body)
        print(text, file=self.stdout)

    def fail(self, text: str, code: ExitCode) -> ExitCode:
        """Print an error and return `code`."""
        print(f"guavapin: {text}", file=self.stderr)
        return code

    def finish(
        self, outcome: Outcome[Answer], as_table: Callable[[Any], str]
    ) -> ExitCode:
        """Render the outcome of a call and return the exit code for it."""
        if isinstance(outcome, Refused):
            return self.fail(str(outcome), exit_code_of_refusal(outcome))
        answer = outcome.value
        code = exit_code_of_status(answer.status)
        if code is ExitCode.DONE:
            self.show(answer.body, as_table)
            return code
        if self.output == "json":
            print(render_json(answer.body), file=self.stdout)
        return self.fail(error_text(answer), code)


def exit_code_of_refusal(refused: Refused) -> ExitCode:
    """Return the exit code for a call that got no answer."""
    by_reason = {
        Reason.TIMEOUT: ExitCode.TIMEOUT,
        Reason.UNREACHABLE: ExitCode.UNREACHABLE,
        Reason.BAD_INPUT: ExitCode.BAD_INPUT,
    }
    return by_reason.get(refused.reason, ExitCode.REFUSED)


def error_text(answer: Answer) -> str:
    """Return the error of an answer as readable lines."""
    body = answer.body if isinstance(answer.body, dict) else {}
    lines = [f"{body.get('reason', 'error')}: {body.get('detail', answer.status)}"]
    lines.extend(f"  {fault}" for fault in body.get("faults", ()))
    return "\n".join(lines)


def build_console(args: argparse.Namespace) -> Console:
    """Return the console for parsed arguments and the environment."""
    client = OperatorsClient(
        base_url=args.url or os.environ.get("GUAVAPIN_URL", DEFAULT_URL),
        token=os.environ.get("GUAVAPIN_TOKEN", ""),
        ca_file=args.ca_file,
        cert_file=args.cert_file,
        key_file=args.key_file,
        timeout_ms=args.timeout_ms,
    )
    return Console(client, args.output, sys.stdout, sys.stderr)
