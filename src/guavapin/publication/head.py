"""The head: the single value whose replacement puts a generation in force."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from collections.abc import Iterable

HEAD_KEY = "config/head"
CHUNK_PREFIX = "config/chunk/"
AUDIT_PREFIX = "audit/publication/"
# Number of generations whose content stays readable, for rollbacks and for edits that
# started from an older generation. At 1,600 changes a day this is about an hour.
HISTORY_GENERATIONS = 64
# Keeps the head under 100 KB when each publication rewrites many chunks.
MAX_PAST_CHUNKS = 1_024
RECENT_PUBLICATIONS = 64


@dataclass(frozen=True, slots=True)
class ChunkRef:
    """A chunk, contained in the generations from `added` on and below `retired`.

    `retired` is 0 while the chunk is in use.
    """

    digest: str
    added: int
    retired: int = 0


@dataclass(frozen=True, slots=True)
class PastPublication:
    """Id of the publication that made a generation; used to resolve a lost answer."""

    generation: int
    publication_id: str


@dataclass(frozen=True, slots=True)
class Head:
    """A generation of the configuration.

    `chunks` are in use, `past` are the retired chunks of generations from `oldest` on.
    `audit_digest` is the digest of the audit value, which holds the digest of the
    previous generation's audit value. `wall_ms` is the wall time of the publication.
    """

    generation: int
    publication_id: str
    chunks: tuple[ChunkRef, ...]
    audit_digest: str
    author: str
    wall_ms: int
    oldest: int
    past: tuple[ChunkRef, ...] = ()
    recent: tuple[PastPublication, ...] = ()

    @property
    def digests(self) -> tuple[str, ...]:
        """Return the digests of the chunks in use."""
        return tuple(ref.digest for ref in self.chunks)


def chunk_key(digest: str) -> str:
    """Return the key under which the platform stores a chunk."""
    return CHUNK_PREFIX + digest


def audit_key(generation: int, digest: str) -> str:
    """Return the key of a publication's audit value; keys sort by generation."""
    return f"{AUDIT_PREFIX}{generation:012d}-{digest}"


def next_head(
    head: Head | None,
    digests: Iterable[str],
    publication_id: str,
    audit_digest: str,
    author: str,
    wall_ms: int,
) -> Head:
    """Return the successor of `head`, which is None for an empty configuration."""
    generation = 1 if head is None else head.generation + 1
    current_digests = set(digests)
    current = {} if head is None else {ref.digest: ref for ref in head.chunks}
    retired = tuple(
        dataclasses.replace(ref, retired=generation)
        for digest, ref in current.items()
        if digest not in current_digests
    )
    past = (() if head is None else head.past) + retired
    oldest, past = _trim_history(1 if head is None else head.oldest, generation, past)
    recent = () if head is None else head.recent
    return Head(
        generation=generation,
        publication_id=publication_id,
        chunks=tuple(
            current.get(digest, ChunkRef(digest, generation))
            for digest in sorted(current_digests)
        ),
        audit_digest=audit_digest,
        author=author,
        wall_ms=wall_ms,
        oldest=oldest,
        past=past,
        recent=(*recent, PastPublication(generation, publication_id))[
            -RECENT_PUBLICATIONS:
        ],
    )


def digests_at(head: Head, generation: int) -> tuple[str, ...] | None:
    """Return the chunk digests of a generation, or None if it is not kept."""
    if not head.oldest <= generation <= head.generation:
        return None
    return tuple(
        ref.digest
        for ref in head.chunks + head.past
        if ref.added <= generation and (ref.retired == 0 or generation < ref.retired)
    )


def kept_digests(head: Head) -> frozenset[str]:
    """Return the chunk digests of all generations that can still be read."""
    return frozenset(ref.digest for ref in head.chunks + head.past)


def generation_of(head: Head, publication_id: str) -> int | None:
    """Return the generation that a recent publication made, or None."""
    for item in head.recent:
        if item.publication_id == publication_id:
            return item.generation
    return None


def encode_head(head: Head) -> bytes:
    """Return the head as JSON."""
    return msgspec.json.encode(head)


def decode_head(data: bytes) -> Outcome[Head]:
    """Return the head in `data`, or `Refused(BAD_INPUT)`."""
    try:
        head = _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Refused(Reason.BAD_INPUT, f"head is malformed: {exc}")
    if head.generation < 1 or len(set(head.digests)) != len(head.chunks):
        return Refused(Reason.BAD_INPUT, "head has no generation or repeats a chunk")
    return Ok(head)


_DECODER = msgspec.json.Decoder(Head)


def _trim_history(
    oldest: int, generation: int, past: tuple[ChunkRef, ...]
) -> tuple[int, tuple[ChunkRef, ...]]:
    """Return the oldest generation to keep and the retired chunks to keep for it."""
    oldest = max(oldest, generation - HISTORY_GENERATIONS)
    kept = tuple(ref for ref in past if ref.retired > oldest)
    while len(kept) > MAX_PAST_CHUNKS:
        oldest = min(ref.retired for ref in kept)
        kept = tuple(ref for ref in kept if ref.retired > oldest)
    return oldest, kept
