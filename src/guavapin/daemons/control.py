"""``guavapin-control``: the duties of an entry host, under leases."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from guavapin.composition import compose_control
from guavapin.daemons.lifecycle import EXIT_BAD_SETTINGS
from guavapin.daemons.lifecycle import run_daemon
from guavapin.kernel.outcome import Refused
from guavapin.metrics.logs import configure_logs
from guavapin.settings.control import load_control

if TYPE_CHECKING:
    from collections.abc import Sequence

DESCRIPTION = """\
Run the duties of an entry host: placing hosts, maintenance waves, moves, the shared
spare, the audit trail. One process of all holds the duty under a lease; another takes
over within 10 s. SIGTERM gives the duty up at once.
"""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the daemon and return its exit code; 2 for faults in the settings."""
    parser = argparse.ArgumentParser("guavapin-control", description=DESCRIPTION)
    parser.add_argument("--settings", type=Path, required=True, help="TOML file")
    args = parser.parse_args(argv)
    cfg = load_control(args.settings)
    if isinstance(cfg, tuple):
        for fault in cfg:
            print(f"guavapin-control: {fault}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    configure_logs(cfg.node.log_level, cfg.node.name)
    outcome = compose_control(cfg)
    if isinstance(outcome, Refused):
        print(f"guavapin-control: {outcome.detail}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return run_daemon(outcome.value.kernel, lambda: None)


if __name__ == "__main__":
    sys.exit(main())
