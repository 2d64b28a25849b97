"""Protocol of the rules that decide whether a job is accepted."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from guavapin.jobs.calls import Rejected
    from guavapin.jobs.model import Job


class AdmissionRule(Protocol):
    """Rejects jobs; the table of jobs asks its rules in order."""

    def rejection(self, job: Job, now_ms: int) -> Rejected | None:
        """Return the rejection of a job at a monotonic time, None to accept it."""
        ...

    def preview(self, job: Job, now_ms: int) -> Rejected | None:
        """Return what `rejection` would, without recording anything.

        Explanations ask it, so that they follow the decision of a real submission.
        """
        ...
