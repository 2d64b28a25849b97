"""Decides who may read or cancel a job."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Access:
    """Authenticated origin of a call about a job.

    `organisation` is that of the caller's key, "" for a call without a key. `queue` is
    the queue that the call named; calls on a queue that `is_public` need no key.
    """

    organisation: str = ""
    queue: str = ""
    is_public: bool = False


# Origin of a call where no organisations are configured.
ANONYMOUS = Access()


def may_access(access: Access, organisation: str, queue: str) -> bool:
    """Return whether a call may read or cancel a job of an organisation and queue.

    A job without an organisation is open to every authenticated caller. A queue may
    have become public after its jobs were submitted with a key, so that calls on a
    public queue may access all its jobs.
    """
    if not organisation or access.organisation == organisation:
        return True
    return access.is_public and access.queue == queue
