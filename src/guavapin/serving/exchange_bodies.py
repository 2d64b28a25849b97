"""Buffers of request bodies that wait for a slot or may have to be sent again."""

from __future__ import annotations

from collections import deque

# The caller of a queued request is paused above this size (design, section 6.8).
HIGH_WATER_BYTES = 262_144
# A body up to this size is kept until the answer begins, so a retry can send it.
MAX_REPLAY_BYTES = 65_536

# Prefix of the body by which a claim distinguishes two requests with the same key.
CLAIM_PREFIX_BYTES = HIGH_WATER_BYTES


class _BodyBuffer:
    def __init__(
        self,
        kept_bytes: int = 0,
        total_bytes: int = 0,
        is_whole: bool = False,
        is_sending: bool = False,
        is_discarded: bool = False,
        is_paused: bool = False,
    ) -> None:
        self.parts: deque[bytes] = deque()
        self.kept_bytes = kept_bytes
        self.total_bytes = total_bytes
        self.is_whole = is_whole
        self.is_sending = is_sending
        self.is_discarded = is_discarded
        self.is_paused = is_paused


class RequestBodies:
    """Parts of request bodies by request id, owned by the task `exchanges`."""

    def __init__(self) -> None:
        self._bodies: dict[int, _BodyBuffer] = {}

    def open(self, request_id: int) -> None:
        """Start an empty buffer for the body of a request."""
        self._bodies[request_id] = _BodyBuffer()

    def drop(self, request_id: int) -> None:
        """Remove the body of a request; unknown ids are ignored."""
        self._bodies.pop(request_id, None)

    def add(self, request_id: int, data: bytes, is_last: bool) -> int:
        """Add a part; returns the size of the body so far, 0 if the id is unknown."""
        body = self._bodies.get(request_id)
        if body is None:
            return 0
        body.total_bytes += len(data)
        body.is_whole = body.is_whole or is_last
        if body.is_discarded:
            return body.total_bytes
        body.parts.append(data)
        body.kept_bytes += len(data)
        if body.is_sending and body.kept_bytes > MAX_REPLAY_BYTES:
            self._discard_parts(body)
        return body.total_bytes

    def pause_if_full(self, request_id: int) -> bool:
        """Mark the caller as paused if its buffer is full.

        Returns True only when the mark is new.
        """
        body = self._bodies.get(request_id)
        if body is None or body.is_sending or body.is_paused:
            return False
        body.is_paused = body.kept_bytes > HIGH_WATER_BYTES
        return body.is_paused

    def start_sending(self, request_id: int) -> tuple[bytes, bool]:
        """Return the data for a new attempt and whether it is the whole body."""
        body = self._bodies.get(request_id)
        if body is None:
            return b"", True
        data = b"".join(body.parts)
        body.is_sending = True
        if body.kept_bytes > MAX_REPLAY_BYTES:
            self._discard_parts(body)
        return data, body.is_whole

    def resume_if_paused(self, request_id: int) -> bool:
        """Mark the caller as no longer paused; returns True if it was paused."""
        body = self._bodies.get(request_id)
        if body is None or not body.is_paused:
            return False
        body.is_paused = False
        return True

    def claim_prefix(self, request_id: int) -> bytes | None:
        """Return the part of the body that a claim covers, None until it has arrived.

        It is the whole body or its first `CLAIM_PREFIX_BYTES`, so that every
        repetition of the request has the same prefix.
        """
        body = self._bodies.get(request_id)
        if body is None:
            return b""
        if not body.is_whole and body.kept_bytes < CLAIM_PREFIX_BYTES:
            return None
        return b"".join(body.parts)[:CLAIM_PREFIX_BYTES]

    def stop_sending(self, request_id: int) -> None:
        """End the sending to an attempt; further parts wait for the next attempt."""
        body = self._bodies.get(request_id)
        if body is not None:
            body.is_sending = False

    def can_replay(self, request_id: int) -> bool:
        """Return whether the body can be sent from its beginning."""
        body = self._bodies.get(request_id)
        return body is None or not body.is_discarded

    def _discard_parts(self, body: _BodyBuffer) -> None:
        body.parts.clear()
        body.kept_bytes = 0
        body.is_discarded = True
