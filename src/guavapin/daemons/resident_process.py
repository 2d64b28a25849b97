"""The process of ``guavapin-resident``: settings, services, reload and stop."""

from __future__ import annotations

import argparse
import logging
import os
import sys
from concurrent.futures import wait
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from guavapin.daemons.lifecycle import EXIT_BAD_SETTINGS
from guavapin.daemons.lifecycle import run_daemon
from guavapin.kernel import Refused
from guavapin.kernel import SystemClock
from guavapin.metrics.logs import configure_logs
from guavapin.metrics.resident import ResidentMetrics
from guavapin.platform.settings import parse_settings
from guavapin.resident import compose_resident
from guavapin.scheduling.task import HandOver
from guavapin.serving.messages import AnswerPending
from guavapin.serving.messages import SetReady
from guavapin.serving.messages import StopAccepting

if TYPE_CHECKING:
    from collections.abc import Sequence

    from guavapin.kernel import Kernel

log = logging.getLogger("guavapin.daemon")

SETTINGS_VARIABLE = "GUAVAPIN_SETTINGS"

DESCRIPTION = """\
Take callers' jobs and, in one process of all, schedule them on the executors and move
and maintain machines. The settings are the file that GUAVAPIN_SETTINGS names.
"""

# Time between the answer "not ready" and the closing of the listener. The platform
# probes once a second and removes a process after two failed probes.
UNREADY_NOTICE_MS = 2_500

# Part of the grace period that is reserved for stopping the services.
STOP_RESERVE_MS = 1_000

# Part of the grace period before it, in which the requests that are still in progress
# are answered without their outcome. Loops that are busy take up to 0.2 s for a step.
ANSWER_RESERVE_MS = 400


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Durations of the phases of a stop, in order.

    New requests are served, then those in progress are finished, then the rest of them
    is answered at once.
    """

    serve_ms: int
    finish_ms: int
    answer_ms: int


def plan_stop(grace_ms: int) -> StopPlan:
    """Return the phases of a stop whose services end before the grace period does."""
    left_ms = max(grace_ms - STOP_RESERVE_MS - ANSWER_RESERVE_MS, 0)
    serve_ms = min(UNREADY_NOTICE_MS, left_ms)
    return StopPlan(serve_ms, left_ms - serve_ms, ANSWER_RESERVE_MS)


def run_resident(argv: Sequence[str] | None = None) -> int:
    """Run the daemon and return its exit code; 2 for faults in the settings."""
    parser = argparse.ArgumentParser("guavapin-resident", description=DESCRIPTION)
    parser.add_argument("--metrics-port", type=int, default=0, help="0 for any port")
    parser.add_argument("--log-level", default="info")
    args = parser.parse_args(argv)
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        text = Path(path).read_text(encoding="utf-8", errors="replace")
    except OSError as exc:
        message = f"{SETTINGS_VARIABLE}: {path!r} cannot be read: {exc}"
        print(f"guavapin-resident: {message}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    cfg = parse_settings(text)
    if isinstance(cfg, Refused):
        for fault in cfg.detail.splitlines():
            print(f"guavapin-resident: {fault}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    metrics = ResidentMetrics()
    configure_logs(args.log_level, cfg.value.node, sys.stdout, metrics)
    kernel = compose_resident(cfg.value, metrics, args.metrics_port, SystemClock())
    return run_daemon(
        kernel,
        lambda: drain_resident(kernel, plan_stop(cfg.value.times.grace_ms)),
        lambda: _check_changed_settings(Path(path)),
    )


def _check_changed_settings(path: Path) -> None:
    """Check a changed settings file and log the result.

    The settings are addresses and limits that are fixed for the life of a process, so
    a changed file takes effect at the next start.
    """
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as exc:
        log.error("settings cannot be read", extra={"failure": str(exc)})
        return
    cfg = parse_settings(text)
    faults = cfg.detail.splitlines() if isinstance(cfg, Refused) else []
    log.info("settings changed", extra={"faults": faults})


def drain_resident(kernel: Kernel, plan: StopPlan) -> None:
    """Hand the duty over, stop accepting, and answer each request in progress.

    A caller's deadline may be later than the end of the process. Its request is then
    answered without its outcome, while there is time to write the answer.
    """
    kernel.deliver("ready_front", SetReady(False, is_stopping=True))
    kernel.deliver("front", SetReady(False, is_stopping=True))
    kernel.deliver("scheduler", HandOver())
    kernel.wait_for_failure(plan.serve_ms)
    fut = kernel.ask("front", StopAccepting())
    done, _ = wait([fut], plan.finish_ms / 1_000)
    if not done:
        log.info("answering the requests in progress")
        for service in ("intake", "front"):
            kernel.deliver(service, AnswerPending())
        wait([fut], plan.answer_ms / 1_000)
