"""Splits an object set into chunks named by the digest of their content.

The hash of its kind and name assigns an object to a bucket. A bucket whose chunk would
be too large is split in two by the next bit of the hash, so that the other buckets and
their digests do not change.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import Any

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.objects.codec import decode_storage
from guavapin.objects.codec import encode_storage
from guavapin.objects.kinds import KINDS
from guavapin.objects.kinds import objects_of
from guavapin.objects.model import ObjectSet

if TYPE_CHECKING:
    from collections.abc import Iterable

# A quarter of the store's limit on a value.
MAX_CHUNK_BYTES = 256 * 1024
# Bits of the hash. 4 bits make 16 buckets: at 1,100 hosts, a change rewrites about
# 10 KB and a start reads 16 keys.
MIN_BUCKET_DEPTH = 4
MAX_BUCKET_DEPTH = 32

_Item = tuple[int, str, str, Any]


def digest_of(data: bytes) -> str:
    """Return the digest of a chunk, 40 hexadecimal digits."""
    return hashlib.blake2b(data, digest_size=20).hexdigest()


def split(objects: ObjectSet) -> dict[str, bytes]:
    """Return the chunks of the set by digest; equal sets have equal chunks."""
    chunks: dict[str, bytes] = {}
    items = [
        (_hash_of(kind.word, name), kind.attribute, name, obj)
        for kind in KINDS
        for name, obj in objects_of(objects, kind).items()
    ]
    buckets: dict[int, list[_Item]] = {}
    for item in items:
        buckets.setdefault(item[0] >> (64 - MIN_BUCKET_DEPTH), []).append(item)
    for bucket in buckets.values():
        _add_chunks(chunks, bucket, MIN_BUCKET_DEPTH)
    return chunks


def join(chunks: Iterable[bytes]) -> Outcome[ObjectSet]:
    """Return the object set of all chunks.

    Returns `Refused` if a chunk is malformed or an object is in two chunks.
    """
    found: dict[str, dict[str, Any]] = {kind.attribute: {} for kind in KINDS}
    for data in chunks:
        decoded = decode_storage(data)
        if isinstance(decoded, Refused):
            return decoded
        for kind in KINDS:
            part = objects_of(decoded.value, kind)
            target = found[kind.attribute]
            if not target.keys().isdisjoint(part):
                detail = f"a {kind.word} stands in two chunks"
                return Refused(Reason.BAD_INPUT, detail)
            target.update(part)
    return Ok(ObjectSet(**found))


def _hash_of(word: str, name: str) -> int:
    data = f"{word}/{name}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def _add_chunks(chunks: dict[str, bytes], bucket: list[_Item], depth: int) -> None:
    data = _encode(bucket)
    if len(data) <= MAX_CHUNK_BYTES or len(bucket) == 1 or depth == MAX_BUCKET_DEPTH:
        chunks[digest_of(data)] = data
        return
    bit = 63 - depth
    for value in (0, 1):
        half = [item for item in bucket if item[0] >> bit & 1 == value]
        if half:
            _add_chunks(chunks, half, depth + 1)


def _encode(bucket: list[_Item]) -> bytes:
    found: dict[str, dict[str, Any]] = {kind.attribute: {} for kind in KINDS}
    for _, attribute, name, obj in bucket:
        found[attribute][name] = obj
    return encode_storage(ObjectSet(**found))
