"""Checks that each request that a process has read gets a whole answer; pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

# A connection that ends this soon after the last byte of a request is excused; the
# setting `bounds.loss-slack-ms` of the processes.
LOSS_SLACK_MS = 200

# Time after its deadline in which a request without an answer is not yet reported.
SILENCE_SLACK_MS = 1_000


class ExchangeEnd(Enum):
    """How a request on an open connection ended."""

    ANSWERED = "answered"
    CUT = "cut without a whole answer"
    NOT_READ = "not read by the process"
    SILENT = "without an answer on an open connection"


@dataclass(frozen=True, slots=True)
class Exchange:
    """A request whose last byte was sent at `sent_ms`, and its end at `ended_ms`.

    `processor_wait_ms` is the time by which its caller waited longer than usual, since
    the process got no processor.
    """

    host: str
    request: str
    sent_ms: int
    ended_ms: int
    end: ExchangeEnd
    status: int = 0
    processor_wait_ms: int = 0


def answer_violations(exchanges: Iterable[Exchange]) -> Iterator[str]:
    """Yield a sentence for each request that was lost."""
    for row in exchanges:
        waited_ms = row.ended_ms - row.sent_ms
        is_lost = row.end is ExchangeEnd.CUT and waited_ms > LOSS_SLACK_MS
        if is_lost or row.end is ExchangeEnd.SILENT:
            yield (
                f"{row.host}: {row.request} sent at {row.sent_ms} ms was "
                f"{row.end.value} {waited_ms} ms later; its process waited "
                f"{row.processor_wait_ms} ms for a processor"
            )


def exit_violation(host: str, code: int, after_ms: int, grace_ms: int) -> str:
    """Return a sentence if a process ended with `code` otherwise than it has to.

    `after_ms` is the time since its SIGTERM, below 0 if it got none.
    """
    if after_ms < 0:
        return f"{host}: ended with code {code} without a SIGTERM"
    if code:
        return f"{host}: ended with code {code}, {after_ms} ms after its SIGTERM"
    if after_ms > grace_ms:
        return f"{host}: ended {after_ms} ms after its SIGTERM"
    return ""
