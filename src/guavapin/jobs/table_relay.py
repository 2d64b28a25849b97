"""Codec of the calls by which an entry host asks another for its table."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from guavapin.http.messages import PeerCall
from guavapin.jobs.table_messages import TableDescribed
from guavapin.jobs.table_record import decode_changes
from guavapin.jobs.table_record import decode_table
from guavapin.jobs.table_record import encode_changes
from guavapin.jobs.table_record import encode_table
from guavapin.kernel.decimal import parse_decimal

if TYPE_CHECKING:
    from guavapin.jobs.table_changes import TableChanges

TABLE_PATH = "/v1/table"
CHANGES_PATH = "/v1/table-changes"

# Timeout of a query. A table of 1 MB takes 1.7 s on the slowest link.
QUERY_TIMEOUT_MS = 2_000

# Timeout of the query of a host that has no table, so that the answer holds one, while
# the host may read the same table from the store over the same link. Changes may share
# the link with such a read as well.
FIRST_QUERY_TIMEOUT_MS = 3 * QUERY_TIMEOUT_MS


class _Described(msgspec.Struct, omit_defaults=True):
    version: int
    age_ms: int
    table: msgspec.Raw = msgspec.Raw()
    changes: msgspec.Raw = msgspec.Raw()
    revision: int = 0


def table_query(reply_to: str, request_id: int, address: str, version: int) -> PeerCall:
    """Return the call that asks for a table above `version` and its proof."""
    path = f"{TABLE_PATH}?version={max(version, 0)}"
    timeout_ms = QUERY_TIMEOUT_MS if version >= 0 else FIRST_QUERY_TIMEOUT_MS
    return PeerCall(reply_to, request_id, address, "GET", path, b"", timeout_ms)


def changes_query(
    reply_to: str, request_id: int, address: str, version: int, is_slow: bool
) -> PeerCall:
    """Return the call that asks for the changes after `version` and their proof.

    The answer has more time if the link `is_slow`, since a table arrives over it.
    """
    path = f"{CHANGES_PATH}?version={version}"
    timeout_ms = FIRST_QUERY_TIMEOUT_MS if is_slow else QUERY_TIMEOUT_MS
    return PeerCall(reply_to, request_id, address, "GET", path, b"", timeout_ms)


def queried_version(query: str) -> int:
    """Return the version that a query string names, 0 for none or an odd one."""
    name, _, value = query.partition("=")
    version = parse_decimal(value) if name == "version" else None
    return version or 0


def encode_described(described: TableDescribed) -> bytes:
    """Return the JSON body of the answer to a query."""
    body = _Described(described.version, described.age_ms, revision=described.revision)
    if described.changes:
        body.changes = msgspec.Raw(encode_changes(described.changes))
    if described.table is not None:
        body.table = msgspec.Raw(encode_table(described.table))
    return msgspec.json.encode(body)


def decode_described(body: bytes) -> TableDescribed | None:
    """Return the answer to a query, or None if it cannot be read."""
    try:
        described = msgspec.json.decode(body, type=_Described)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    table = None
    if bytes(described.table):
        table = decode_table(bytes(described.table))
        if table is None or table.version != described.version:
            return None
    changes: tuple[TableChanges, ...] = ()
    if bytes(described.changes):
        changes = decode_changes(bytes(described.changes)) or ()
        if not changes or changes[-1].version != described.version:
            return None
    return TableDescribed(
        0,
        described.version,
        described.age_ms,
        table,
        changes,
        described.revision,
    )
