"""Behaviour switches and record of the upstream stand-in."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Behaviour:
    """Behaviour of the stand-in from now on.

    `cut_body_bytes` closes the connection after that many bytes of an answer's body.
    The next `close_unanswered` requests are run, and their connection is then closed
    without an answer. `is_silent` stops reading and writing on all connections that
    are open when it is set; new connections work. `is_down` closes all connections,
    ends all requests in progress and refuses new connections, as a host without power
    or in a reboot does.
    """

    fails: bool = False
    is_silent: bool = False
    cut_body_bytes: int = -1
    slow_ms: int = 0
    is_leaving: bool = False
    close_unanswered: int = 0
    is_chunked: bool = False
    is_unframed: bool = False
    resets: bool = False
    part_bytes: int = 0
    part_interval_ms: int = 0
    is_down: bool = False


@dataclass(frozen=True, slots=True)
class SetBehaviour:
    """Replace the behaviour; also accepted as a `Call`, answered with None."""

    behaviour: Behaviour


@dataclass(frozen=True, slots=True)
class GetRecord:
    """As a `Call`: the reply is a `Record`."""


@dataclass(frozen=True, slots=True)
class GetRunning:
    """As a `Call`: the reply is the number of requests in progress."""


@dataclass(frozen=True, slots=True)
class Run:
    """A request that the stand-in has started to run."""

    request_identity: str
    idempotency_key: str
    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body_bytes: int


@dataclass(frozen=True, slots=True)
class Record:
    """Counters of the stand-in, and the requests that it ran.

    `violations` counts requests above the slots and connections above their limit;
    `abandoned` counts requests whose connection closed before they ended.
    """

    runs: tuple[Run, ...] = ()
    highest_running: int = 0
    highest_connections: int = 0
    open_connections: int = 0
    running: int = 0
    violations: int = 0
    abandoned: int = 0
    bytes_written: int = 0

    def count_by_identity(self) -> Counter[str]:
        """Return the number of runs of each request identity."""
        return Counter(run.request_identity for run in self.runs)
