"""Decodes calls of the platform's HTTP protocol and encodes the store's answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from guavapin.keyvalue.messages import Conflict
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import KeyRevision
from guavapin.keyvalue.messages import Leased
from guavapin.keyvalue.messages import Missing
from guavapin.keyvalue.messages import Written
from guavapin_standins.platform_store import MAX_VALUE_BYTES

if TYPE_CHECKING:
    from guavapin_standins.platform_store import PlatformStore

READS = frozenset({"get", "list", "watch", "hosts"})
_KINDS = {
    ("GET", "kv"): "get",
    ("PUT", "kv"): "put",
    ("DELETE", "kv"): "delete",
    ("GET", "watch"): "watch",
    ("GET", "hosts"): "hosts",
    ("POST", "hosts"): "host_step",
    ("POST", "leases"): "lease_grant",
    ("PUT", "leases"): "lease_renew",
    ("DELETE", "leases"): "lease_revoke",
}


@dataclass(frozen=True, slots=True)
class PlatformCall:
    """A decoded call; `name` is the key, lease or host in its path."""

    kind: str
    name: str
    query: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """Status, body and the ``X-Revision`` header of an answer."""

    status: int
    body: bytes = b""
    revision: int | None = None


def parse_call(
    method: str, path: str, query: dict[str, str], body: bytes
) -> PlatformCall:
    """Return the call; its kind is ``"unknown"`` if the path is not served."""
    parts = path.split("/", 3)
    resource = parts[2] if len(parts) > 2 and parts[1] == "v1" else ""
    name = parts[3] if len(parts) > 3 else ""
    kind = _KINDS.get((method, resource), "unknown")
    if kind == "get" and not name and "prefix" in query:
        kind = "list"
    return PlatformCall(kind, name, query, body)


def execute(store: PlatformStore, call: PlatformCall) -> PlatformAnswer:
    """Run any call but a watch; a missing or malformed query field gives 400."""
    try:
        return _execute(store, call)
    except (KeyError, ValueError):
        return PlatformAnswer(400)


def encode_changes(keys: tuple[KeyRevision, ...], revision: int) -> PlatformAnswer:
    """Return the answer that lists keys with their revisions."""
    body = msgspec.json.encode(keys)
    return PlatformAnswer(200, body, revision)


def _execute(store: PlatformStore, call: PlatformCall) -> PlatformAnswer:
    match call.kind:
        case "get":
            return _encode(store.get(call.name))
        case "put" if len(call.body) > MAX_VALUE_BYTES:
            return PlatformAnswer(413)
        case "put":
            expected = int(call.query["expect"])
            lease = call.query.get("lease", "")
            return _encode(store.put(call.name, call.body, expected, lease))
        case "delete":
            return _encode(store.delete(call.name, int(call.query["expect"])))
        case "list":
            keys = store.list_prefix(call.query["prefix"])
            return encode_changes(keys, store.revision)
        case "hosts":
            return PlatformAnswer(200, msgspec.json.encode(store.hosts()))
        case "host_step":
            host, _, step_id = call.name.partition("/")
            state = store.host_steps.order_step(host, call.query["step"], step_id)
            return PlatformAnswer(200, msgspec.json.encode(state))
        case "lease_grant":
            return _encode(store.grant(int(call.query["ttl_ms"])))
        case "lease_renew":
            return _encode(store.renew(call.name))
        case "lease_revoke":
            return _encode(store.revoke(call.name))
    return PlatformAnswer(404)


def _encode(outcome: Found | Missing | Written | Conflict | Leased) -> PlatformAnswer:
    match outcome:
        case Found(value, revision):
            return PlatformAnswer(200, value, revision)
        case Written(revision):
            return PlatformAnswer(200, b"", revision)
        case Conflict(revision):
            return PlatformAnswer(409, b"", revision)
        case Leased():
            return PlatformAnswer(200, msgspec.json.encode(outcome))
    return PlatformAnswer(404)
