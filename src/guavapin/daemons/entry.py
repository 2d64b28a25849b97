"""``guavapin-entry``: the serving daemon of an entry host."""

from __future__ import annotations

import argparse
import logging
import sys
from concurrent.futures import wait
from pathlib import Path
from typing import TYPE_CHECKING

from guavapin.claims.task import ReadCounters
from guavapin.composition import compose_entry
from guavapin.daemons.lifecycle import EXIT_BAD_SETTINGS
from guavapin.daemons.lifecycle import run_daemon
from guavapin.kernel.outcome import Refused
from guavapin.metrics.logs import configure_logs
from guavapin.peers.messages import AnnounceLeaving
from guavapin.serving.exchange_messages import AwaitLoansReturned
from guavapin.serving.messages import AnswerPending
from guavapin.serving.messages import StopAccepting
from guavapin.serving.readiness import BeginStop
from guavapin.serving.seat import ReleaseSeat
from guavapin.settings.entry import load_entry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from guavapin.composition import EntryProcess
    from guavapin.settings.entry import EntrySettings

log = logging.getLogger("guavapin.daemon")

# Time in which the refusals of the requests that outlast the stop are written.
ANSWER_TIMEOUT_MS = 400
SEAT_RELEASE_TIMEOUT_MS = 3_000
CLAIMS_POLL_INTERVAL_MS = 100
# A caller with libcurl looks for closed connections among its idle ones once a second,
# and its request fails after five of them. It must not find the next process at the
# same address before it has found the closed connections of this one.
CLOSE_NOTICE_MS = 1_500

DESCRIPTION = """\
Serve callers on an entry host: routing, limits, retries, configuration, operators'
interface. SIGTERM stops gracefully: /readyz fails first, requests in progress finish.
"""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the daemon and return its exit code; 2 for faults in the settings."""
    parser = argparse.ArgumentParser("guavapin-entry", description=DESCRIPTION)
    parser.add_argument("--settings", type=Path, required=True, help="TOML file")
    args = parser.parse_args(argv)
    cfg = load_entry(args.settings)
    if isinstance(cfg, tuple):
        for fault in cfg:
            print(f"guavapin-entry: {fault}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    configure_logs(cfg.node.log_level, cfg.node.name)
    outcome = compose_entry(cfg)
    if isinstance(outcome, Refused):
        print(f"guavapin-entry: {outcome.detail}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    process = outcome.value
    return run_daemon(process.kernel, lambda: drain_entry(process, cfg))


def drain_entry(process: EntryProcess, cfg: EntrySettings) -> None:
    """Report unready, let the balancer notice, finish the requests in progress.

    Requests that outlast the stop are answered with an unknown outcome, or as not run.
    The process ends after its callers have had time to notice the closed connections.
    """
    kernel = process.kernel
    kernel.ask("readiness", BeginStop()).result()
    kernel.deliver("peers", AnnounceLeaving())
    # The balancer sends new connections until it has seen /readyz fail.
    kernel.wait_for_failure(cfg.limits.unready_notice_ms)
    fut = kernel.ask("front", StopAccepting())
    done, _ = wait([fut], cfg.limits.stop_timeout_ms / 1_000)
    if not done:
        log.info("answering the requests in progress")
        for service in ("exchanges", "front"):
            kernel.deliver(service, AnswerPending())
        done, _ = wait([fut], ANSWER_TIMEOUT_MS / 1_000)
    closed_ms = kernel.clock.now_ms()
    if done:
        await_claims(process, cfg)
        release_seat(process, cfg)
    notice_ms = closed_ms + CLOSE_NOTICE_MS - kernel.clock.now_ms()
    kernel.wait_for_failure(max(notice_ms, 0))


def await_claims(process: EntryProcess, cfg: EntrySettings) -> None:
    """Wait until the outcomes of claimed requests are recorded at the platform.

    If an outcome is not recorded, a caller that repeats the request cannot get it.
    """
    kernel = process.kernel
    deadline_ms = kernel.clock.now_ms() + cfg.limits.stop_timeout_ms
    while kernel.clock.now_ms() < deadline_ms:
        counters = kernel.ask("claims", ReadCounters()).result()
        if not counters.get("keys"):
            return
        kernel.wait_for_failure(CLAIMS_POLL_INTERVAL_MS)


def release_seat(process: EntryProcess, cfg: EntrySettings) -> None:
    """Record that the seat's slots are free, so that its next process need not wait."""
    kernel = process.kernel
    returned = kernel.ask("exchanges", AwaitLoansReturned())
    done, _ = wait([returned], cfg.limits.stop_timeout_ms / 1_000)
    if done:
        wait([kernel.ask("seat", ReleaseSeat())], SEAT_RELEASE_TIMEOUT_MS / 1_000)


if __name__ == "__main__":
    sys.exit(main())
