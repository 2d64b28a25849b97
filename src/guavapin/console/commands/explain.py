"""``guavapin explain``: why a host takes no work, or a wave waits."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse
    from typing import Any

    from guavapin.console.command import Console
    from guavapin.console.exit_codes import ExitCode

KINDS = ("host", "wave")


class ExplainCommand:
    """Explain one host or wave."""

    name = "explain"
    summary = "say why a host takes no work, or a wave waits"
    description = """\
Say what is known of one host or wave: which pool a host serves in, whether it takes
new work, whether it may be taken out now; how far a wave is and what it waits for.
"""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Declare kind and name."""
        parser.add_argument("kind", choices=KINDS)
        parser.add_argument("name", help="name of the object")

    def run(self, args: argparse.Namespace, console: Console) -> ExitCode:
        """Read and render the explanation."""
        path = f"/operator/v1/explain/{args.kind}/{args.name}"
        return console.finish(console.client.get(path), _as_text)


def _as_text(body: Any) -> str:
    lines = [f"{body['kind']} {body['name']}:"]
    lines.extend(f"  {line}" for line in body["lines"])
    return "\n".join(lines)
