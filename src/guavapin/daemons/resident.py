"""Console command ``guavapin-resident``; handles signals from the beginning."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from guavapin.daemons.signals import handle_early_signals

if TYPE_CHECKING:
    from collections.abc import Sequence


def main(argv: Sequence[str] | None = None) -> int:
    """Run the daemon and return its exit code; 2 for faults in the settings."""
    handle_early_signals()
    # Importing the services takes most of a start. A signal that arrives meanwhile
    # must not end the process by its default action.
    from guavapin.daemons.resident_process import run_resident

    return run_resident(argv)


if __name__ == "__main__":
    sys.exit(main())
