"""Functions shared by the commands that change the fleet."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from guavapin.operators.fleet_calls import FleetChangeRequest

if TYPE_CHECKING:
    import argparse
    from typing import Any

    from guavapin.console.command import Console
    from guavapin.console.exit_codes import ExitCode


def add_reason(parser: argparse.ArgumentParser) -> None:
    """Declare the reason that the audit trail records."""
    parser.add_argument("--reason", default="", help="why; kept in the audit trail")


def send_change(console: Console, path: str, reason: str, pool: str = "") -> ExitCode:
    """Send one change with a command id, so that a repetition has no effect."""
    req = FleetChangeRequest(reason=reason, pool=pool, command_id=str(uuid.uuid4()))
    outcome = console.client.post(f"/operator/v1{path}", req)
    return console.finish(outcome, _describe)


def _describe(body: Any) -> str:
    return (
        f"{body['action']} {body['object']}: accepted as audit entry {body['sequence']}"
    )
