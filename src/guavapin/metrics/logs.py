"""JSON log lines, one for each change of state."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

from pythonjsonlogger.json import JsonFormatter

from guavapin.metrics.prompt_handler import PromptHandler

if TYPE_CHECKING:
    from typing import TextIO

    from guavapin.metrics.resident import ResidentMetrics

LOG_FIELDS = ("asctime", "levelname", "name", "message")


def configure_logs(
    level: str,
    node: str,
    stream: TextIO | None = None,
    metrics: ResidentMetrics | None = None,
) -> None:
    """Send the log lines of all ``guavapin`` loggers to `stream` as JSON.

    `level` is a name that `logging` knows; `node` is added to each line. Further
    fields come from the ``extra`` of a call, for example
    ``log.info("host drained", extra={"host": "h1", "generation": 7})``. `metrics`
    counts the lines and leaves out those above its rate limit. A stream with a
    descriptor is never waited for.
    """
    handler = _open_handler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            list(LOG_FIELDS),
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"node": node},
        )
    )
    if metrics is not None:
        handler.addFilter(metrics)
    root = logging.getLogger("guavapin")
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    root.propagate = False


def _open_handler(stream: TextIO) -> logging.Handler:
    try:
        return PromptHandler(stream.fileno())
    except OSError:
        # A stream in memory.
        return logging.StreamHandler(stream)
