"""Fault switches, limits and counters of the platform's stand-in."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Faults:
    """Fault switches of the stand-in.

    `outage` is ``""``, ``"closed"`` (connections are refused and open ones closed),
    ``"silent"`` (calls are read, have no effect and get no answer) or ``"error"``
    (503). `delay_ms` delays every answer. The next `lost_answers` writes take effect,
    and their connection is then closed without an answer; the next `lost_requests`
    writes are closed without taking effect. Callers whose ``Guavapin-Zone`` or source
    address is listed are cut off: their calls have no effect, and the connection is
    closed, or kept open without an answer if `is_cut_off_silent`.
    """

    outage: str = ""
    delay_ms: int = 0
    lost_answers: int = 0
    lost_requests: int = 0
    cut_off_zones: tuple[str, ...] = ()
    cut_off_sources: tuple[str, ...] = ()
    is_cut_off_silent: bool = False


@dataclass(frozen=True, slots=True)
class SetFaults:
    """Replace the fault switches; a `Call` is answered with ``True``."""

    faults: Faults


@dataclass(frozen=True, slots=True)
class SetHost:
    """Set a host's state: ``live``, ``leaving`` or ``gone``."""

    host: str
    state: str


@dataclass(frozen=True, slots=True)
class GetLiveHosts:
    """As a `Call`: the reply is the set of hosts that are live now."""


@dataclass(frozen=True, slots=True)
class SetUsage:
    """Report how many requests a host runs; a drain ends at 0."""

    host: str
    running: int


@dataclass(frozen=True, slots=True)
class BreakHost:
    """Make all further reboots and health checks of the host fail."""

    host: str


@dataclass(frozen=True, slots=True)
class Limits:
    """Calls per second; a burst is a tenth of a second's calls, at least one call."""

    writes_per_second: float = 500.0
    reads_per_second: float = 2_000.0


class Counters:
    """Counts calls by kind, zone and status, and the bytes of bodies in and out."""

    def __init__(self, bytes_in: int = 0, bytes_out: int = 0) -> None:
        self.by_kind: Counter[str] = Counter()
        self.by_zone: Counter[str] = Counter()
        self.by_status: Counter[int] = Counter()
        self.bytes_in = bytes_in
        self.bytes_out = bytes_out
