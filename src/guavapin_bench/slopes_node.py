"""An entry or control process that reports counters, for `guavapin_bench.slopes`.

Run as ``python -m guavapin_bench.slopes_node --settings FILE [--control]``.
The process answers each line on its standard input with one line of JSON, and stops at
the end of the input.
"""

from __future__ import annotations

import argparse
import json
import sys
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING

from guavapin.composition import compose_control
from guavapin.composition import compose_entry
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.peers.messages import QueryPeers
from guavapin.settings.control import load_control
from guavapin.settings.entry import load_entry

if TYPE_CHECKING:
    from guavapin.composition import ControlProcess
    from guavapin.composition import EntryProcess
    from guavapin.kernel import Kernel
    from guavapin.kernel import Outcome

ASK_TIMEOUT_S = 10
# The kernel starts the loops in the order in which the composition root names them.
LOOP_THREADS = {"loop_0": "serving_cpu_s", "loop_1": "control_cpu_s"}


def report(kernel: Kernel) -> dict[str, float]:
    """Return the traffic counters of `peers` and the processor seconds of the loops."""
    status = kernel.ask("peers", QueryPeers()).result(ASK_TIMEOUT_S)
    figures: dict[str, float] = {
        name: status.counters.get(name, 0)
        for name in ("sent", "sent_bytes", "received", "received_bytes")
    }
    figures["members"] = len(status.members)
    for thread in threading.enumerate():
        label = LOOP_THREADS.get(thread.name)
        if label is not None and thread.ident is not None:
            clock = time.pthread_getcpuclockid(thread.ident)
            figures[label] = time.clock_gettime(clock)
    return figures


def compose(
    path: Path, is_control: bool
) -> Outcome[EntryProcess] | Outcome[ControlProcess]:
    """Return the process of a settings file; refused if the file has faults."""
    if is_control:
        control = load_control(path)
        if isinstance(control, tuple):
            return Refused(Reason.BAD_INPUT, "; ".join(map(str, control)))
        return compose_control(control)
    entry = load_entry(path)
    if isinstance(entry, tuple):
        return Refused(Reason.BAD_INPUT, "; ".join(map(str, entry)))
    return compose_entry(entry)


def main() -> int:
    """Report for each line of the input until it ends."""
    parser = argparse.ArgumentParser(prog="python -m guavapin_bench.slopes_node")
    parser.add_argument("--settings", type=Path, required=True)
    parser.add_argument("--control", action="store_true")
    args = parser.parse_args()
    composed = compose(args.settings, args.control)
    if isinstance(composed, Refused):
        print(composed, file=sys.stderr)
        return 2
    kernel = composed.value.kernel
    outcome = kernel.start()
    if isinstance(outcome, Refused):
        print(outcome, file=sys.stderr)
        return 1
    for _ in sys.stdin:
        print(json.dumps(report(kernel)), flush=True)
    kernel.stop()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
