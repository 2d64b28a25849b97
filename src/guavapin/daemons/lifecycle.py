"""Life cycle of a daemon: start, wait for a signal or a failure, stop gracefully."""

from __future__ import annotations

import logging
import os
import traceback
from pathlib import Path
from typing import TYPE_CHECKING

from guavapin.daemons.signals import FAILURE_BYTE
from guavapin.daemons.signals import STOP_SIGNALS
from guavapin.daemons.signals import SignalReceiver
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.kernel import Kernel

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

STOP_BYTES = STOP_SIGNALS | {FAILURE_BYTE}

# Innermost frames of a failure in its log line. They lead from the event loop through
# the task to the failed call.
MAX_LOGGED_FRAMES = 12

log = logging.getLogger("guavapin.daemon")


def run_daemon(
    kernel: Kernel,
    drain: Callable[[], None],
    reload: Callable[[], None] = lambda: None,
) -> int:
    """Run `kernel` until SIGTERM or SIGINT and return the exit code.

    `drain` finishes the work in progress before the services stop; `reload` is called
    on SIGHUP. A broken invariant in any task ends the process with exit code 1. Signals
    are ignored after the services have stopped.
    """
    signals = SignalReceiver()
    try:
        return _run_until_stopped(kernel, signals, drain, reload)
    finally:
        signals.close()


def _run_until_stopped(
    kernel: Kernel,
    signals: SignalReceiver,
    drain: Callable[[], None],
    reload: Callable[[], None],
) -> int:
    outcome = kernel.start()
    if isinstance(outcome, Refused):
        log.error("start failed", extra={"reason": outcome.detail})
        return EXIT_FAILED
    log.info("started", extra={"pid": os.getpid()})
    kernel.on_failure(signals.report_failure)
    _wait_for_stop(signals, reload)
    failure = kernel.failure
    if failure is not None:
        extra = {"failure": repr(failure), "frames": describe_frames(failure)}
        log.error("broken invariant", extra=extra)
        return EXIT_FAILED
    log.info("stopping")
    drain()
    late = kernel.stop()
    if late:
        log.error("services did not stop in time", extra={"services": late})
        return EXIT_FAILED
    log.info("stopped")
    return EXIT_DONE


def describe_frames(failure: BaseException) -> list[str]:
    """Return the innermost frames of an exception, the innermost one last.

    A frame is written as ``FOLDER/FILE:LINE FUNCTION``, for example
    ``http/transfer.py:121 prepare``.
    """
    frames = traceback.extract_tb(failure.__traceback__)[-MAX_LOGGED_FRAMES:]
    return [
        f"{'/'.join(Path(frame.filename).parts[-2:])}:{frame.lineno} {frame.name}"
        for frame in frames
    ]


def _wait_for_stop(signals: SignalReceiver, reload: Callable[[], None]) -> None:
    """Block until a signal to stop arrives, or a loop fails; reload on others."""
    while True:
        numbers = signals.wait()
        if any(number in STOP_BYTES for number in numbers):
            return
        reload()
