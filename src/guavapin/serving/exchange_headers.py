"""Headers that decide on a request: team, priority, deadline, key, hops; pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.serving.messages import Headers

TEAM = b"guavapin-team"
PRIORITY = b"guavapin-priority"
DEADLINE = b"guavapin-deadline-ms"
HOPS = b"guavapin-hops"
KEY = b"idempotency-key"
OUTCOME = b"guavapin-outcome"
REASON = b"guavapin-reason"
LEAVING = b"guavapin-leaving"

MAX_TEAM_BYTES = 128


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """Options that a request sets in its headers.

    `deadline_ms` is the time left, 0 if it is not given. `body_bytes` is the announced
    length, -1 if it is not announced.
    """

    team: str = ""
    is_urgent: bool = False
    deadline_ms: int = 0
    key: str = ""
    hops: int = 0
    body_bytes: int = -1


def read_head(headers: Headers) -> RequestOptions:
    """Return the options in `headers`; a malformed number counts as absent."""
    values = dict(reversed(headers))
    return RequestOptions(
        team=values.get(TEAM, b"")[:MAX_TEAM_BYTES].decode("latin-1"),
        is_urgent=values.get(PRIORITY, b"").lower() == b"urgent",
        deadline_ms=max(_parse_number(values.get(DEADLINE), 0), 0),
        key=values.get(KEY, b"").decode("latin-1"),
        hops=_parse_number(values.get(HOPS), 0),
        body_bytes=_parse_number(values.get(b"content-length"), -1),
    )


def with_deadline(headers: Headers, remaining_ms: int, hops: int) -> Headers:
    """Return `headers` for the next server, with the time left and the hops so far."""
    kept = [item for item in headers if item[0] not in (DEADLINE, HOPS)]
    kept.append((DEADLINE, str(remaining_ms).encode()))
    if hops:
        kept.append((HOPS, str(hops).encode()))
    return tuple(kept)


def announces_leaving(status: int, headers: Headers, is_closing: bool) -> bool:
    """Return whether an upstream announces its leaving with this answer."""
    if status == 503 and is_closing:
        return True
    return any(name == LEAVING and value == b"true" for name, value in headers)


def is_not_run_refusal(headers: Headers) -> bool:
    """Return whether another entry host has refused the request as not run."""
    return any(name == OUTCOME and value == b"not-run" for name, value in headers)


def announced_length(headers: Headers) -> int:
    """Return the value of ``Content-Length``, -1 if it is absent or malformed."""
    for name, value in headers:
        if name == b"content-length":
            return _parse_number(value, -1)
    return -1


def _parse_number(value: bytes | None, absent: int) -> int:
    if value is None or not value.isdigit() or len(value) > 15:
        return absent
    return int(value)
