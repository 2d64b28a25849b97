"""Applies the lists and changes that followers of the store send to a scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.scheduling.record import INBOX_PREFIX
from guavapin.scheduling.term_loader import registration
from guavapin.scheduling.term_loader import registrations

if TYPE_CHECKING:
    from guavapin.keyvalue import messages as kv
    from guavapin.scheduling.scheduler import Scheduler
    from guavapin.scheduling.term_loader import RegistryDecoder


def apply_listed(
    scheduler: Scheduler,
    decoder: RegistryDecoder,
    prefix: str,
    items: tuple[kv.Item, ...],
) -> None:
    """Apply the complete list of items under a prefix."""
    if prefix == decoder.prefix:
        scheduler.hosts.replace_registrations(registrations(decoder, items))
    elif prefix == INBOX_PREFIX:
        _handle_markers(scheduler, items)


def apply_changed(
    scheduler: Scheduler,
    decoder: RegistryDecoder,
    prefix: str,
    items: tuple[kv.Item, ...],
) -> None:
    """Apply the items under a prefix that changed."""
    if prefix == INBOX_PREFIX:
        _handle_markers(scheduler, items)
    elif prefix == decoder.prefix:
        for item in items:
            entry = registration(decoder, item)
            if entry is not None:
                scheduler.hosts.register(entry)
            else:
                scheduler.hosts.unregister(item.key.removeprefix(prefix))
        # A new host is polled at once, since subtasks may wait for it.
        scheduler.hosts.tick()


def _handle_markers(scheduler: Scheduler, items: tuple[kv.Item, ...]) -> None:
    """Handle the markers of jobs that were stored while no scheduler was reached.

    While the lease is unconfirmed, markers are ignored: a successor may be handling
    them, and assumes that no earlier scheduler has started their jobs. The inbox
    is listed again once the lease is confirmed.
    """
    if scheduler.term.is_unconfirmed:
        return
    for item in items:
        if item.value is not None:
            scheduler.jobs.handle_marker(item.key)
