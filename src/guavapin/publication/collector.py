"""Selects the chunks that garbage collection may remove, without I/O.

A chunk may be removed if no generation that the head still describes contains it and
if it was written before that head. The second condition protects publishers. A
publisher that can still replace this head has written, or renewed, its chunks after
reading it. A publisher that read an older head can no longer succeed, however long it
was paused. The removal expects the listed revision, so that a paused collector removes
no chunk that was renewed meanwhile. Revisions are those of the whole store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.publication.head import CHUNK_PREFIX
from guavapin.publication.head import kept_digests

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.keyvalue.messages import KeyRevision
    from guavapin.publication.head import Head

# Limits the calls of one collection; later collections remove the rest.
MAX_REMOVALS = 64


def removable_chunks(
    listed: Iterable[KeyRevision], head: Head, head_revision: int
) -> tuple[KeyRevision, ...]:
    """Return the chunks that may be removed, oldest first, `MAX_REMOVALS` at most."""
    kept = kept_digests(head)
    found = [
        item
        for item in listed
        if item.key.startswith(CHUNK_PREFIX)
        and item.key.removeprefix(CHUNK_PREFIX) not in kept
        and item.revision < head_revision
    ]
    found.sort(key=lambda item: item.revision)
    return tuple(found[:MAX_REMOVALS])
