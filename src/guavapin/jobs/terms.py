"""Terms on which a queue runs its jobs."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdviceTerms:
    """Latency of a request for tickets, and validity of a ticket, in milliseconds.

    A request takes about `decide_ms` plus `per_host_ms` for each host.
    """

    decide_ms: int
    per_host_ms: int
    validity_ms: int


@dataclass(frozen=True, slots=True)
class QueueTerms:
    """Terms of a queue, which a job keeps when its queue is removed.

    Priority 0 is served first. A job fails once a subtask has failed `attempts` times.
    Its latency objective is `stretch` times its longest chain of work plus
    `latency_objective_ms`. With `advice`, a start needs a ticket for its host.
    """

    priority: int = 0
    attempts: int = 4
    stretch: float = 1.0
    latency_objective_ms: int = 0
    advice: AdviceTerms | None = None


# Terms of a job whose record was written by a build that stored none.
UNRECORDED_TERMS = QueueTerms()
