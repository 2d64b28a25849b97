"""Loads the state of a new term from the store."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.keyvalue import messages as kv
from guavapin.scheduling.handover import HANDOVER_PREFIX
from guavapin.scheduling.handover_codec import decode_handover
from guavapin.scheduling.record import INBOX_PREFIX
from guavapin.scheduling.record import JOBS_PREFIX
from guavapin.scheduling.record import PROGRESS_PREFIX
from guavapin.scheduling.record import decode_job
from guavapin.scheduling.record import decode_progress
from guavapin.scheduling.scheduler import Scheduler

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.executors.model import Registration
    from guavapin.jobs.model import Job
    from guavapin.scheduling.record import Progress
    from guavapin.scheduling.term import Term

log = logging.getLogger("guavapin.scheduling.task")


class RegistryDecoder(Protocol):
    """Decodes entries of the executor registry; never raises."""

    @property
    def prefix(self) -> str:
        """Return the key prefix under which the registry is stored."""
        ...

    def decode(self, key: str, value: bytes) -> Registration | None:
        """Return a registration, None if the value is not a usable one."""
        ...


class TermLoader:
    """Collects the lists that a term begins with, in any order.

    They are those of the jobs, their progress, the inbox, the registry and the runs
    that a predecessor handed over.
    """

    def __init__(self, decoder: RegistryDecoder) -> None:
        self._decoder = decoder
        # Items by key, for each prefix that has been listed.
        self._listings: dict[str, dict[str, kv.Item]] = {}

    def add(self, prefix: str, items: tuple[kv.Item, ...]) -> None:
        """Add the complete list of items under one prefix."""
        self._listings[prefix] = {item.key: item for item in items}

    def update(self, prefix: str, items: tuple[kv.Item, ...]) -> None:
        """Apply changes that follow the list of a prefix, while others are read.

        Changes before the list are dropped: they come from following the prefix in an
        earlier term.
        """
        listing = self._listings.get(prefix)
        if listing is None:
            return
        for item in items:
            if item.value is None:
                listing.pop(item.key, None)
            else:
                listing[item.key] = item

    @property
    def is_complete(self) -> bool:
        """Whether all lists have been read."""
        needed = {
            JOBS_PREFIX,
            PROGRESS_PREFIX,
            INBOX_PREFIX,
            HANDOVER_PREFIX,
            self._decoder.prefix,
        }
        return needed <= self._listings.keys()

    @property
    def revisions(self) -> tuple[kv.KeyRevision, ...]:
        """Return the revisions of the progress records, for the ledger."""
        items = self._listings[PROGRESS_PREFIX].values()
        return tuple(kv.KeyRevision(item.key, item.revision) for item in items)

    def load(self, term: Term) -> Scheduler:
        """Return a scheduler with the registrations, jobs and markers that were read.

        Jobs and progress records that cannot be decoded are logged and left out.
        """
        scheduler = Scheduler(term)
        items = self._listings[self._decoder.prefix].values()
        listed = registrations(self._decoder, items)
        scheduler.hosts.replace_registrations(listed)
        scheduler.jobs.load(self._jobs(), self._progress())
        for item in self._listings[HANDOVER_PREFIX].values():
            handed_hosts = decode_handover(item.value or b"")
            if handed_hosts is None:
                log.error("handed over runs cannot be read", extra={"key": item.key})
            scheduler.apply_handover(handed_hosts)
        for key in self._listings[INBOX_PREFIX]:
            scheduler.jobs.handle_marker(key)
        return scheduler

    def _jobs(self) -> list[Job]:
        jobs = []
        for item in self._listings[JOBS_PREFIX].values():
            job = decode_job(item.value or b"")
            if job is None:
                log.error("job cannot be read", extra={"key": item.key})
            else:
                jobs.append(job)
        return jobs

    def _progress(self) -> dict[str, Progress]:
        progress = {}
        for item in self._listings[PROGRESS_PREFIX].values():
            stored = decode_progress(item.value or b"")
            if stored is None:
                log.error("progress cannot be read", extra={"key": item.key})
            else:
                progress[item.key.removeprefix(PROGRESS_PREFIX)] = stored
        return progress


def registrations(
    decoder: RegistryDecoder, items: Iterable[kv.Item]
) -> list[Registration]:
    """Return the usable registrations among items of the registry."""
    decoded = [registration(decoder, item) for item in items]
    return [entry for entry in decoded if entry is not None]


def registration(decoder: RegistryDecoder, item: kv.Item) -> Registration | None:
    """Return a registration, None if it was removed or (logged) is unusable."""
    if item.value is None:
        return None
    entry = decoder.decode(item.key, item.value)
    if entry is None:
        extra = {"key": item.key, "bytes": len(item.value)}
        log.warning("registration cannot be used", extra=extra)
    return entry
