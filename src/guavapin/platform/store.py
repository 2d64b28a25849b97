"""Codec of the HTTP calls of the platform's metadata store."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from guavapin.kernel.outcome import InvariantError
from guavapin.keyvalue import messages as kv
from guavapin.keyvalue.codec import HttpCall
from guavapin.platform.bodies import decode_body
from guavapin.platform.bodies import encode_body

if TYPE_CHECKING:
    from guavapin.keyvalue.messages import PlatformOutcome
    from guavapin.keyvalue.messages import PlatformRequest


# Statuses of calls that break a rule of the store, such as its limit of a value's
# length. Nothing is done, and the same call breaks the rule again.
REFUSED_STATUSES = frozenset((400, 403, 413))


class _Item(msgspec.Struct, rename="kebab", frozen=True):
    key: str
    revision: int
    value: str = ""
    tombstone: bool = False


class _Answer(msgspec.Struct, rename="kebab", frozen=True):
    """All fields of the store's answers; each kind of answer sets some of them."""

    items: list[_Item] = []
    events: list[_Item] = []
    more_pages: bool = False
    # Revision of the store when it answered, not the revision of an item.
    current_rev: int = 0
    revision: int = 0
    lease: int = 0
    ttl_ms: int = 0


class PlatformStoreCodec:
    """`StoreCodec` that translates key-value requests to the store's HTTP calls."""

    headers = ("Content-Type: application/json", "Accept:", "User-Agent:")

    def encode(self, req: PlatformRequest) -> HttpCall:
        """Return the HTTP call of a request.

        Raises `InvariantError` for a request that the store does not serve, such as a
        list of hosts.
        """
        match req:
            case kv.Get(key=key, may_be_stale=may_be_stale):
                path = f"/guavapin/kv-key?key={_quote(key)}"
                if may_be_stale:
                    path += "&allow-stale=1"
                return HttpCall("get", "GET", path)
            case kv.ReadItems(prefix=prefix, after_key=after):
                path = f"/guavapin/kv-range?prefix={_quote(prefix)}"
                if after:
                    path += f"&after={_quote(after)}"
                return HttpCall("list", "GET", path)
            case kv.WatchItems(prefix=prefix, after_revision=after, wait_ms=wait_ms):
                query = f"prefix={_quote(prefix)}&after={after}&wait-ms={wait_ms}"
                path = f"/guavapin/kv-watch?{query}"
                return HttpCall("watch", "GET", path, wait_ms=wait_ms)
            case kv.Transact(expected=expected, puts=puts, removes=removes):
                return _encode_transaction(expected, puts, removes)
            case kv.Put(key=key, value=value, expected=expected, lease_id=lease):
                return _encode_transaction(
                    (kv.KeyRevision(key, expected),),
                    (kv.KeyValue(key, value, lease),),
                    (),
                )
        return _encode_lease_call(req)

    def decode(
        self, req: PlatformRequest, status: int, revision: bytes, body: bytes
    ) -> PlatformOutcome:
        """Return the outcome of a request; an unexpected answer is `Unknown`."""
        if status == 429:
            return kv.RateLimited()
        if status == 503:
            return kv.NotSent("the store did nothing (503)")
        if status in REFUSED_STATUSES:
            return kv.PermanentlyRefused(f"the store refused the call ({status})")
        if status == 404 and not isinstance(req, kv.ReadItems | kv.WatchItems):
            return kv.Missing()
        if status == 410 and isinstance(req, kv.WatchItems):
            return kv.Compacted()
        answer = _decode_answer(req, body) if status in (200, 412) else None
        outcome = None
        if isinstance(req, kv.Get):
            # This answer's body is a single item instead of a list.
            outcome = _decode_found(decode_body(body, _Item)) if status == 200 else None
        elif status == 200 and answer is not None:
            outcome = _decode_success(req, answer)
        elif status == 412 and answer is not None:
            outcome = _decode_mismatch(req, answer)
        return outcome or kv.Unknown(f"unexpected answer with status {status}")


def _encode_transaction(
    expected: tuple[kv.KeyRevision, ...],
    puts: tuple[kv.KeyValue, ...],
    removes: tuple[str, ...],
) -> HttpCall:
    body = {
        "expect": [{"key": row.key, "revision": row.revision} for row in expected],
        "set-keys": [_encode_put(row) for row in puts],
        "remove": list(removes),
    }
    path = "/guavapin/kv-txn"
    return HttpCall("txn", "POST", path, encode_body(body), is_write=True)


def _encode_put(row: kv.KeyValue) -> dict[str, object]:
    value = base64.b64encode(row.value).decode()
    put: dict[str, object] = {"key": row.key, "value": value}
    if row.lease_id:
        put["lease"] = int(row.lease_id)
    return put


def _encode_lease_call(req: PlatformRequest) -> HttpCall:
    match req:
        case kv.LeaseGrant(ttl_ms=ttl_ms):
            body = encode_body({"ttl-ms": ttl_ms})
            path = "/guavapin/kv-lease"
            return HttpCall("lease_grant", "POST", path, body, is_write=True)
        case kv.LeaseRenew(lease_id=lease):
            # The store counts a renewal as a read.
            return HttpCall("lease_renew", "POST", f"/guavapin/kv-keep/{lease}")
        case kv.LeaseRevoke(lease_id=lease):
            path = f"/guavapin/kv-lease-end/{lease}"
            return HttpCall("lease_revoke", "DELETE", path, is_write=True)
    raise InvariantError(f"the store has no call for {req!r}")


def _decode_answer(req: PlatformRequest, body: bytes) -> _Answer | None:
    """Return the body as an answer, None if it cannot be read.

    Only a renewal and the end of a lease need no body.
    """
    if not body and isinstance(req, kv.LeaseRenew | kv.LeaseRevoke):
        return _Answer()
    return decode_body(body, _Answer)


def _decode_success(req: PlatformRequest, answer: _Answer) -> PlatformOutcome | None:
    match req:
        case kv.ReadItems() | kv.WatchItems() if answer.current_rev <= 0:
            # The store may omit an empty list, but its revision is always above 0.
            return None
        case kv.ReadItems():
            items = _decode_items(answer.items)
            return kv.Items(items, answer.more_pages, answer.current_rev)
        case kv.WatchItems():
            return kv.ItemsChanged(_decode_items(answer.events), answer.current_rev)
        case kv.Transact() | kv.Put():
            return kv.Written(answer.revision) if answer.revision else None
        case kv.LeaseGrant():
            return kv.Leased(str(answer.lease), answer.ttl_ms) if answer.lease else None
        case kv.LeaseRenew(lease_id=lease):
            return kv.Leased(lease, answer.ttl_ms)
        case kv.LeaseRevoke():
            return kv.Written(answer.revision)
    return None


def _decode_mismatch(req: PlatformRequest, answer: _Answer) -> PlatformOutcome | None:
    if isinstance(req, kv.Transact):
        return kv.Mismatch(_decode_items(answer.items))
    if isinstance(req, kv.Put):
        found = [item.revision for item in answer.items if item.key == req.key]
        return kv.Conflict(found[0] if found else kv.NO_REVISION)
    return None


def _decode_found(item: _Item | None) -> PlatformOutcome | None:
    value = _decode_value(item) if item is not None else None
    return kv.Found(value, item.revision) if item and value is not None else None


def _decode_items(rows: list[_Item]) -> tuple[kv.Item, ...]:
    return tuple(kv.Item(row.key, _decode_value(row), row.revision) for row in rows)


def _decode_value(row: _Item) -> bytes | None:
    if row.tombstone or not row.revision:
        return None
    try:
        return base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError):
        return b""


def _quote(text: str) -> str:
    return quote(text, safe="/")
