"""Switches, limits and counters of the platform's stand-in."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Faults:
    """Switches of the stand-in.

    `outage` is ``""``, ``"closed"`` (connections are refused and open ones closed),
    ``"silent"`` (calls are read, have no effect and get no answer) or ``"error"``
    (503). `delay_ms` holds every answer back. `lost_answers` counts the next writes
    that take effect and whose connection is then closed without an answer;
    `lost_requests` those that are closed without taking effect. Callers whose
    ``Guavapin-Zone`` or source address is listed are cut off: their connections are
    closed without effect, or held without an answer if `is_cut_off_silent`.
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
    """Replace the switches; answered with ``True`` when sent as a `Call`."""

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
    """Report how many requests a host runs; a drain waits for none."""

    host: str
    running: int


@dataclass(frozen=True, slots=True)
class BreakHost:
    """The host fails its reboots and health checks from now on."""

    host: str


@dataclass(frozen=True, slots=True)
class Limits:
    """Rates a second; a burst holds one tenth of a second, at least one call."""

    writes_per_second: float = 500.0
    reads_per_second: float = 2_000.0


class Counters:
    """Calls by kind, by zone and by status; bytes of bodies in and out."""

    def __init__(self, bytes_in: int = 0, bytes_out: int = 0) -> None:
        self.by_kind: Counter[str] = Counter()
        self.by_zone: Counter[str] = Counter()
        self.by_status: Counter[int] = Counter()
        self.bytes_in = bytes_in
        self.bytes_out = bytes_out
