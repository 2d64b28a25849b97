"""Record of a table that entry hosts send one another.

It holds the digests of keys and no keys: the listener for peers is not encrypted.
"""

from __future__ import annotations

import msgspec

from guavapin.jobs.caller_limits import CallerLimits
from guavapin.jobs.model import Resources
from guavapin.jobs.organisations import Organisation
from guavapin.jobs.queues import Pool
from guavapin.jobs.queues import Queue
from guavapin.jobs.queues import QueueTable
from guavapin.jobs.table_changes import TableChanges
from guavapin.jobs.terms import QueueTerms


class _Queue(msgspec.Struct, array_like=True):
    name: str
    host: str
    prefix: str
    service: str
    is_public: bool
    terms: QueueTerms


class _Organisation(msgspec.Struct, array_like=True):
    name: str
    weight: float
    cap: Resources
    key_digests: list[bytes]


class _Table(msgspec.Struct):
    version: int
    queues: list[_Queue]
    pools: list[Pool]
    organisations: list[_Organisation]
    limits: CallerLimits


class _Changes(msgspec.Struct):
    base: int
    version: int
    removed: list[str]
    queues: list[_Queue]
    pools: list[Pool]
    organisations: list[_Organisation] | None
    limits: CallerLimits


def encode_changes(changes: tuple[TableChanges, ...]) -> bytes:
    """Return the JSON record of successive changes."""
    records = [
        _Changes(
            row.base,
            row.version,
            list(row.removed),
            _queue_records(row.queues),
            list(row.pools),
            (
                None
                if row.organisations is None
                else _organisation_records(row.organisations)
            ),
            row.limits,
        )
        for row in changes
    ]
    return msgspec.json.encode(records)


def decode_changes(body: bytes) -> tuple[TableChanges, ...] | None:
    """Return the changes of a record, or None if the record cannot be read."""
    try:
        records = msgspec.json.decode(body, type=list[_Changes])
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    return tuple(
        TableChanges(
            row.base,
            row.version,
            tuple(row.removed),
            tuple(_decode_queue(queue) for queue in row.queues),
            tuple(row.pools),
            (
                None
                if row.organisations is None
                else _decode_organisations(row.organisations)
            ),
            row.limits,
        )
        for row in records
    )


def encode_table(table: QueueTable) -> bytes:
    """Return the JSON record of a table."""
    record = _Table(
        table.version,
        _queue_records(table.queues),
        list(table.pools),
        _organisation_records(table.organisations),
        table.limits,
    )
    return msgspec.json.encode(record)


def decode_table(body: bytes) -> QueueTable | None:
    """Return the table of a record, or None if the record cannot be read."""
    try:
        record = msgspec.json.decode(body, type=_Table)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    return QueueTable(
        record.version,
        tuple(_decode_queue(row) for row in record.queues),
        tuple(record.pools),
        _decode_organisations(record.organisations),
        record.limits,
    )


def _queue_records(queues: tuple[Queue, ...]) -> list[_Queue]:
    return [
        _Queue(
            queue.name,
            queue.host,
            queue.prefix,
            queue.service,
            queue.is_public,
            queue.terms,
        )
        for queue in queues
    ]


def _organisation_records(rows: tuple[Organisation, ...]) -> list[_Organisation]:
    return [
        _Organisation(row.name, row.weight, row.cap, sorted(row.key_digests))
        for row in rows
    ]


def _decode_organisations(rows: list[_Organisation]) -> tuple[Organisation, ...]:
    return tuple(
        Organisation(row.name, row.weight, row.cap, frozenset(row.key_digests))
        for row in rows
    )


def _decode_queue(row: _Queue) -> Queue:
    terms = row.terms
    return Queue(
        row.name,
        row.host,
        row.prefix,
        row.service,
        terms.priority,
        terms.attempts,
        terms.stretch,
        terms.latency_objective_ms,
        terms.advice,
        row.is_public,
    )
