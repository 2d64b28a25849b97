"""The rows of the matrix: the injected faults."""

from __future__ import annotations

import itertools
from enum import Enum


class Fault(Enum):
    """A fault of section 1.5 of the design page; the value is its row label."""

    HOSTS_LOST = "related hosts lost at once"
    RACE = "two actors race"
    RUN_TIME_OFF = "declared run time far off"
    NEVER_RUNS = "job that can never run"
    CANCELLATIONS = "wave of cancellations"
    BAD_WORKER = "worker fails everything"
    PLATFORM_DOWN = "platform down"
    PLATFORM_SLOW = "platform slow"
    ANSWER_LOST = "answer lost after the write"
    LEASE_LAPSES = "lease lapses under a paused holder"
    SAME_OBJECT = "operators edit the same object"
    SILENT_CONNECTION = "open connection goes silent"
    CUT_OFF = "peer or zone cut off"
    PROCESS_DIES = "entry process dies"


def single_faults() -> tuple[tuple[Fault, ...], ...]:
    """Return each fault as a tuple of its own."""
    return tuple((fault,) for fault in Fault)


def fault_pairs() -> tuple[tuple[Fault, ...], ...]:
    """Return all unordered pairs; an equal pair injects the same fault twice."""
    return tuple(itertools.combinations_with_replacement(Fault, 2))
