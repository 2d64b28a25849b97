"""The platform's protocol: messages to HTTP calls, answers to outcomes.

Decoding never raises: an answer that does not follow the protocol is `Unknown`,
since the call may have taken effect.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeVar
from urllib.parse import quote

import msgspec

from guavapin.platform.messages import Changed
from guavapin.platform.messages import Conflict
from guavapin.platform.messages import Delete
from guavapin.platform.messages import Found
from guavapin.platform.messages import Get
from guavapin.platform.messages import Hosts
from guavapin.platform.messages import HostState
from guavapin.platform.messages import HostStepState
from guavapin.platform.messages import KeyRevision
from guavapin.platform.messages import Leased
from guavapin.platform.messages import LeaseGrant
from guavapin.platform.messages import LeaseRenew
from guavapin.platform.messages import LeaseRevoke
from guavapin.platform.messages import Listed
from guavapin.platform.messages import ListHosts
from guavapin.platform.messages import ListPrefix
from guavapin.platform.messages import Missing
from guavapin.platform.messages import OrderHostStep
from guavapin.platform.messages import Put
from guavapin.platform.messages import RateLimited
from guavapin.platform.messages import Unknown
from guavapin.platform.messages import Watch
from guavapin.platform.messages import Written

if TYPE_CHECKING:
    from guavapin.platform.messages import PlatformOutcome
    from guavapin.platform.messages import PlatformRequest

T = TypeVar("T")

MAX_REVISION = 2**63 - 1


@dataclass(frozen=True, slots=True)
class HttpCall:
    """Method, path with query, body; `wait_ms` is how long the platform may hold it."""

    kind: str
    method: str
    path: str
    body: bytes = b""
    wait_ms: int = 0
    is_write: bool = False


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
    return _encode_lease_call(req)


def decode_answer(
    req: PlatformRequest, status: int, revision: bytes, body: bytes
) -> PlatformOutcome:
    """Return the outcome of an answer; `revision` is the ``X-Revision`` header."""
    if status == 429:
        return RateLimited()
    if status == 404 and not isinstance(req, ListHosts | ListPrefix | Watch):
        return Missing()
    number = _revision(revision)
    if status == 409 and number is not None:
        return Conflict(number)
    outcome = _decode_body(req, number, body) if status in (200, 204) else None
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
            keys = _json(body or b"[]", tuple[KeyRevision, ...])
            if keys is None:
                return None
            kind = Listed if isinstance(req, ListPrefix) else Changed
            return kind(keys, revision)
        case LeaseGrant() | LeaseRenew():
            return _json(body, Leased)
        case ListHosts():
            hosts = _json(body, tuple[HostState, ...])
            return None if hosts is None else Hosts(hosts)
        case OrderHostStep():
            return _json(body, HostStepState)
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


def _revision(text: bytes) -> int | None:
    if not text.isdigit() or len(text) > 19:
        return None
    number = int(text)
    return number if number <= MAX_REVISION else None


def _json(body: bytes, kind: type[T]) -> T | None:
    # Bad UTF-8 raises a UnicodeDecodeError, which is a ValueError, deep nesting a
    # RecursionError.
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
