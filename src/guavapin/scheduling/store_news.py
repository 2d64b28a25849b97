"""What the store's followers bring to a scheduler that is active."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.scheduling.record import INBOX_PREFIX
from guavapin.scheduling.term_reading import registration
from guavapin.scheduling.term_reading import registrations

if TYPE_CHECKING:
    from guavapin.keyvalue import messages as kv
    from guavapin.scheduling.scheduler import Scheduler
    from guavapin.scheduling.term_reading import RegistryCodec


def take_listed(
    scheduler: Scheduler, codec: RegistryCodec, prefix: str, items: tuple[kv.Item, ...]
) -> None:
    """Take all items under a prefix."""
    if prefix == codec.prefix:
        scheduler.hosts.list_registrations(registrations(codec, items))
    elif prefix == INBOX_PREFIX:
        _take_markers(scheduler, items)


def take_changed(
    scheduler: Scheduler, codec: RegistryCodec, prefix: str, items: tuple[kv.Item, ...]
) -> None:
    """Take items under a prefix that changed."""
    if prefix == INBOX_PREFIX:
        _take_markers(scheduler, items)
    elif prefix == codec.prefix:
        for item in items:
            entry = registration(codec, item)
            if entry is not None:
                scheduler.hosts.register(entry)
            else:
                scheduler.hosts.unregister(item.key.removeprefix(prefix))
        # A new host is looked at now, since work may wait for it.
        scheduler.hosts.tick()


def _take_markers(scheduler: Scheduler, items: tuple[kv.Item, ...]) -> None:
    """Take jobs that were stored without a scheduler.

    Without a confirmed lease a successor may be taking the same jobs, of which it
    knows that no scheduler before it can have started them. The inbox is listed again
    once the lease is confirmed.
    """
    if scheduler.term.is_unconfirmed:
        return
    for item in items:
        if item.value is not None:
            scheduler.jobs.take_marker(item.key)
