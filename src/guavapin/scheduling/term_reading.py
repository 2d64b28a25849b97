"""What a new scheduler reads from the store before it begins."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.keyvalue import messages as kv
from guavapin.scheduling.record import INBOX_PREFIX
from guavapin.scheduling.record import JOBS_PREFIX
from guavapin.scheduling.record import PROGRESS_PREFIX
from guavapin.scheduling.record import decode_job
from guavapin.scheduling.record import decode_progress
from guavapin.scheduling.scheduler import Scheduler

if TYPE_CHECKING:
    from guavapin.executors.model import Registration
    from guavapin.jobs.model import Job
    from guavapin.scheduling.record import Progress
    from guavapin.scheduling.term import Term

log = logging.getLogger("guavapin.scheduling.task")


class RegistryCodec(Protocol):
    """Decodes entries of the executors' registry; never raises."""

    @property
    def prefix(self) -> str:
        """Return the prefix of the entries' keys."""
        ...

    def decode(self, key: str, value: bytes) -> Registration | None:
        """Return an entry, None if it names no executor to use."""
        ...


class TermReading:
    """Gathers the lists of jobs, progress, inbox and registry, in any order."""

    def __init__(self, codec: RegistryCodec) -> None:
        self._codec = codec
        self._read: dict[str, tuple[kv.Item, ...]] = {}

    def take(self, prefix: str, items: tuple[kv.Item, ...]) -> None:
        """Take the items under one prefix."""
        self._read[prefix] = items

    @property
    def is_complete(self) -> bool:
        """Whether everything has been read."""
        needed = {JOBS_PREFIX, PROGRESS_PREFIX, INBOX_PREFIX, self._codec.prefix}
        return needed <= self._read.keys()

    @property
    def revisions(self) -> tuple[kv.KeyRevision, ...]:
        """Return the revisions of the progress records, for the ledger."""
        items = self._read[PROGRESS_PREFIX]
        return tuple(kv.KeyRevision(item.key, item.revision) for item in items)

    def load(self, term: Term) -> Scheduler:
        """Return a scheduler with all that was read."""
        scheduler = Scheduler(term)
        listed = registrations(self._codec, self._read[self._codec.prefix])
        scheduler.hosts.list_registrations(listed)
        scheduler.jobs.load(self._jobs(), self._progress())
        for item in self._read[INBOX_PREFIX]:
            scheduler.jobs.take_marker(item.key)
        return scheduler

    def _jobs(self) -> list[Job]:
        jobs = []
        for item in self._read[JOBS_PREFIX]:
            job = decode_job(item.value or b"")
            if job is None:
                log.error("job cannot be read", extra={"key": item.key})
            else:
                jobs.append(job)
        return jobs

    def _progress(self) -> dict[str, Progress]:
        progress = {}
        for item in self._read[PROGRESS_PREFIX]:
            stored = decode_progress(item.value or b"")
            if stored is None:
                log.error("progress cannot be read", extra={"key": item.key})
            else:
                progress[item.key.removeprefix(PROGRESS_PREFIX)] = stored
        return progress


def registrations(
    codec: RegistryCodec, items: tuple[kv.Item, ...]
) -> list[Registration]:
    """Return the entries among items that name an executor to use."""
    decoded = [registration(codec, item) for item in items]
    return [entry for entry in decoded if entry is not None]


def registration(codec: RegistryCodec, item: kv.Item) -> Registration | None:
    """Return an entry of the registry, None if it was removed or cannot be used."""
    if item.value is None:
        return None
    entry = codec.decode(item.key, item.value)
    if entry is None:
        extra = {"key": item.key, "bytes": len(item.value)}
        log.warning("registration cannot be used", extra=extra)
    return entry
