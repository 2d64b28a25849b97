"""Messages to and from the service `ledger`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.keyvalue.messages import KeyRevision
    from guavapin.ledger.ledger import Entry


@dataclass(frozen=True, slots=True)
class OpenLedger:
    """Begin a term, in which every write expects `fence`.

    `revisions` are the revisions of the writer's keys as last read.
    """

    fence: KeyRevision
    revisions: tuple[KeyRevision, ...]


@dataclass(frozen=True, slots=True)
class CloseLedger:
    """End the term and drop its pending entries."""


@dataclass(frozen=True, slots=True)
class RecordEntry:
    """Write an entry; an urgent one is sent with a shorter delay than others."""

    entry: Entry
    is_urgent: bool = False


@dataclass(frozen=True, slots=True)
class EntriesDurable:
    """To the writer: the store holds these entries."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class EntriesExisted:
    """To the writer: another writer had created the keys of these entries."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class EntriesRefused:
    """To the writer: the store refuses these entries, which are given up.

    With `may_be_stored`, an earlier write of them got no answer and may take effect.
    """

    entries: tuple[Entry, ...]
    may_be_stored: bool


@dataclass(frozen=True, slots=True)
class LedgerFenced:
    """To the writer: another process holds the fence key."""
