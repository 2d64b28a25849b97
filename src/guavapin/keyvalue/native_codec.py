"""Codec of the product's own platform protocol over HTTP.

Decoding never raises: an answer that violates the protocol is `Unknown`, since the
call may have taken effect.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar
from urllib.parse import quote

import msgspec

from guavapin.kernel.outcome import InvariantError
from guavapin.keyvalue.codec import HttpCall
from guavapin.keyvalue.messages import Changed
from guavapin.keyvalue.messages import Conflict
from guavapin.keyvalue.messages import Delete
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import Hosts
from guavapin.keyvalue.messages import HostState
from guavapin.keyvalue.messages import HostStepState
from guavapin.keyvalue.messages import KeyRevision
from guavapin.keyvalue.messages import Leased
from guavapin.keyvalue.messages import LeaseGrant
from guavapin.keyvalue.messages import LeaseRenew
from guavapin.keyvalue.messages import LeaseRevoke
from guavapin.keyvalue.messages import Listed
from guavapin.keyvalue.messages import ListHosts
from guavapin.keyvalue.messages import ListPrefix
from guavapin.keyvalue.messages import Missing
from guavapin.keyvalue.messages import OrderHostStep
from guavapin.keyvalue.messages import Put
from guavapin.keyvalue.messages import RateLimited
from guavapin.keyvalue.messages import ReadItems
from guavapin.keyvalue.messages import Transact
from guavapin.keyvalue.messages import Unknown
from guavapin.keyvalue.messages import Watch
from guavapin.keyvalue.messages import WatchItems
from guavapin.keyvalue.messages import Written

if TYPE_CHECKING:
    from guavapin.keyvalue.messages import PlatformOutcome
    from guavapin.keyvalue.messages import PlatformRequest

T = TypeVar("T")

MAX_REVISION = 2**63 - 1


class NativeCodec:
    """`StoreCodec` of the product's own protocol; calls carry `zone`."""

    def __init__(self, zone: str) -> None:
        self.headers = (
            "Content-Type: application/octet-stream",
            f"Guavapin-Zone: {zone}",
        )

    def encode(self, req: PlatformRequest) -> HttpCall:
        """Return the HTTP call of a request."""
        return encode_call(req)

    def decode(
        self, req: PlatformRequest, status: int, revision: bytes, body: bytes
    ) -> PlatformOutcome:
        """Return the outcome of an answer."""
        return decode_answer(req, status, revision, body)


def encode_call(req: PlatformRequest) -> HttpCall:
    """Return the HTTP call of a request."""
    match req:
        case Get(key=key):
            return HttpCall("get", "GET", _key_path(key))
        case Put(key=key, value=value, expected=expected, lease_id=lease):
            path = f"{_key_path(key)}?expect={expected}"
            if lease:
                path += f"&lease={quote(lease, safe='')}"
            return HttpCall("put", "PUT", path, value, is_write=True)
        case Delete(key=key, expected=expected):
            path = f"{_key_path(key)}?expect={expected}"
            return HttpCall("delete", "DELETE", path, is_write=True)
        case ListPrefix(prefix=prefix):
            return HttpCall("list", "GET", f"/v1/kv?prefix={quote(prefix, safe='')}")
        case Watch(prefix=prefix, after_revision=after, wait_ms=wait_ms):
            query = f"prefix={quote(prefix, safe='')}&after={after}&wait_ms={wait_ms}"
            return HttpCall("watch", "GET", f"/v1/watch?{query}", wait_ms=wait_ms)
        case ListHosts():
            return HttpCall("hosts", "GET", "/v1/hosts")
        case OrderHostStep(host=host, step=step, step_id=step_id):
            path = f"/v1/hosts/{quote(host, safe='')}/{quote(step_id, safe='')}"
            query = f"step={quote(step, safe='')}"
            return HttpCall("host_step", "POST", f"{path}?{query}", is_write=True)
        case Transact() | ReadItems() | WatchItems():
            raise InvariantError(f"the protocol has no call for {req!r}")
    return _encode_lease_call(req)


def decode_answer(
    req: PlatformRequest, status: int, revision: bytes, body: bytes
) -> PlatformOutcome:
    """Return the outcome of an answer; `revision` is the ``X-Revision`` header."""
    if status == 429:
        return RateLimited()
    if status == 404 and not isinstance(req, ListHosts | ListPrefix | Watch):
        return Missing()
    current_revision = _parse_revision(revision)
    if status == 409 and current_revision is not None:
        return Conflict(current_revision)
    outcome = (
        _decode_body(req, current_revision, body) if status in (200, 204) else None
    )
    return outcome or Unknown(f"unexpected answer with status {status}")


def _decode_body(
    req: PlatformRequest, revision: int | None, body: bytes
) -> PlatformOutcome | None:
    match req:
        case Get() if revision is not None:
            return Found(body, revision)
        case Put() | Delete() | LeaseRevoke() if revision is not None:
            return Written(revision)
        case ListPrefix() | Watch() if revision is not None:
            keys = _decode_json(body or b"[]", tuple[KeyRevision, ...])
            if keys is None:
                return None
            kind = Listed if isinstance(req, ListPrefix) else Changed
            return kind(keys, revision)
        case LeaseGrant() | LeaseRenew():
            return _decode_json(body, Leased)
        case ListHosts():
            hosts = _decode_json(body, tuple[HostState, ...])
            return None if hosts is None else Hosts(hosts)
        case OrderHostStep():
            return _decode_json(body, HostStepState)
    return None


def _encode_lease_call(req: LeaseGrant | LeaseRenew | LeaseRevoke) -> HttpCall:
    if isinstance(req, LeaseGrant):
        path = f"/v1/leases?ttl_ms={req.ttl_ms}"
        return HttpCall("lease_grant", "POST", path, is_write=True)
    path = f"/v1/leases/{quote(req.lease_id, safe='')}"
    if isinstance(req, LeaseRenew):
        return HttpCall("lease_renew", "PUT", path, is_write=True)
    return HttpCall("lease_revoke", "DELETE", path, is_write=True)


def _key_path(key: str) -> str:
    return f"/v1/kv/{quote(key, safe='/')}"


def _parse_revision(text: bytes) -> int | None:
    if not text.isdigit() or len(text) > 19:
        return None
    number = int(text)
    return number if number <= MAX_REVISION else None


def _decode_json(body: bytes, kind: type[T]) -> T | None:
    # Invalid UTF-8 raises UnicodeDecodeError, which is a ValueError. Deep nesting
    # raises RecursionError.
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
