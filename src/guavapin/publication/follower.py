"""Decides which generation to adopt and where to fetch its chunks, without I/O.

A head is adopted only if its generation is above the one in force and all of its
chunks have arrived with matching digests.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import TypeAlias

from guavapin.kernel.outcome import Refused
from guavapin.publication.snapshot import digest_of
from guavapin.publication.snapshot import join

if TYPE_CHECKING:
    from guavapin.objects.model import ObjectSet
    from guavapin.publication.head import Head

PLATFORM = ""
MAX_FETCHES = 4
# A peer in another zone answers in milliseconds; a platform call has a deadline of 2 s.
PEER_TIMEOUT_MS = 1_000
PLATFORM_TIMEOUT_MS = 3_000
MIN_RETRY_DELAY_MS = 100
MAX_RETRY_DELAY_MS = 5_000
MAX_REFUSED_PUBLICATIONS = 16
# A target that no source can complete is dropped after this many rounds. Otherwise it
# would block heads of a lower generation that is still above the one in force.
MAX_SOURCE_ROUNDS = 6


@dataclass(frozen=True, slots=True)
class Fetch:
    """The fetch of a chunk from `source`; without `is_requested`, it awaits a retry.

    `attempt` counts the sources tried. The next source is tried at `due_ms`.
    """

    source: str
    attempt: int
    due_ms: int
    is_requested: bool


@dataclass(frozen=True, slots=True)
class FollowerState:
    """The head in force with its chunks, and the target that is being fetched.

    `sources` are the peers that have offered the target. `refused` names
    publications whose chunks could not be decoded.
    """

    head: Head | None = None
    chunks: dict[str, bytes] = field(default_factory=dict)
    target: Head | None = None
    fetched: dict[str, bytes] = field(default_factory=dict)
    fetches: dict[str, Fetch] = field(default_factory=dict)
    sources: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()

    @property
    def generation(self) -> int:
        """Return the generation in force, 0 if there is none."""
        return 0 if self.head is None else self.head.generation


@dataclass(frozen=True, slots=True)
class RequestChunk:
    """Request a chunk from `source`; `PLATFORM` denotes the key-value service."""

    digest: str
    source: str


@dataclass(frozen=True, slots=True)
class Adopt:
    """Put `objects` in force; `source` is the first that offered the head."""

    head: Head
    objects: ObjectSet
    source: str


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head again, since no source has all chunks of the target."""


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add 1 to the counter of this name."""

    counter: str


Action: TypeAlias = RequestChunk | Adopt | ReadHead | IncrementCounter
Step: TypeAlias = tuple[FollowerState, tuple[Action, ...]]


def on_head(state: FollowerState, head: Head, source: str, now_ms: int) -> Step:
    """Make a newer head the target, or add `source` to the sources of the target."""
    if head.generation <= state.generation:
        return state, _count_outdated(state.head, head)
    if head.publication_id in state.refused:
        return state, ()
    target = state.target
    if target is not None and head.generation <= target.generation:
        return _add_source(state, target, head, source)
    known = {**state.chunks, **state.fetched}
    state = dataclasses.replace(
        state,
        target=head,
        fetched={item: known[item] for item in head.digests if item in known},
        fetches={},
        sources=(source,),
    )
    return _advance(state, now_ms)


def on_chunk(
    state: FollowerState, digest: str, data: bytes | None, source: str, now_ms: int
) -> Step:
    """Store a chunk; without `data`, or with corrupted data, try the next source."""
    fetch = state.fetches.get(digest)
    if fetch is None:
        return state, ()
    if data is not None and digest_of(data) == digest:
        fetches = {key: item for key, item in state.fetches.items() if key != digest}
        state = dataclasses.replace(
            state, fetched={**state.fetched, digest: data}, fetches=fetches
        )
        return _advance(state, now_ms)
    if fetch.source != source or not fetch.is_requested:
        return state, ()
    reason = "chunks_missing" if data is None else "chunks_corrupted"
    state, actions = _try_next(state, digest, fetch, now_ms)
    return state, (IncrementCounter(reason), *actions)


def on_tick(state: FollowerState, now_ms: int) -> Step:
    """Request overdue chunks from the next source, and those whose retry is due."""
    actions: list[Action] = []
    for digest, fetch in state.fetches.items():
        if now_ms < fetch.due_ms or digest not in state.fetches:
            continue
        if fetch.is_requested:
            state, more = _try_next(state, digest, fetch, now_ms)
            actions.extend((IncrementCounter("fetches_overdue"), *more))
        else:
            state, request = _request_chunk(state, digest, fetch.attempt, now_ms)
            actions.append(request)
    return state, tuple(actions)


def _count_outdated(adopted: Head | None, offered: Head) -> tuple[Action, ...]:
    if adopted is None or offered.generation < adopted.generation:
        return (IncrementCounter("older_heads"),)
    if offered.publication_id != adopted.publication_id:
        return (IncrementCounter("differing_heads"),)
    return ()


def _add_source(state: FollowerState, target: Head, head: Head, source: str) -> Step:
    if head.publication_id != target.publication_id or source in state.sources:
        return state, ()
    return dataclasses.replace(state, sources=(*state.sources, source)), ()


def _advance(state: FollowerState, now_ms: int) -> Step:
    """Request missing chunks, or adopt the target when none is missing."""
    target = state.target
    if target is None:
        return state, ()
    missing = [
        digest
        for digest in target.digests
        if digest not in state.fetched and digest not in state.fetches
    ]
    if not missing and not state.fetches:
        return _adopt(state, target)
    actions: list[Action] = []
    for digest in missing[: max(MAX_FETCHES - len(state.fetches), 0)]:
        state, request = _request_chunk(state, digest, 0, now_ms)
        actions.append(request)
    return state, tuple(actions)


def _adopt(state: FollowerState, target: Head) -> Step:
    joined = join(state.fetched[digest] for digest in target.digests)
    source = state.sources[0]
    if isinstance(joined, Refused):
        refused = (*state.refused, target.publication_id)[-MAX_REFUSED_PUBLICATIONS:]
        cleared = _without_target(state)
        return (
            dataclasses.replace(cleared, refused=refused),
            (IncrementCounter("undecodable_heads"),),
        )
    state = dataclasses.replace(
        _without_target(state), head=target, chunks=state.fetched
    )
    return state, (Adopt(target, joined.value, source),)


def _without_target(state: FollowerState) -> FollowerState:
    return dataclasses.replace(state, target=None, fetched={}, fetches={}, sources=())


def _source_order(state: FollowerState) -> tuple[str, ...]:
    """Return the sources of the target; the platform is last unless it offered it."""
    known = state.sources
    return known if PLATFORM in known else (*known, PLATFORM)


def _request_chunk(
    state: FollowerState, digest: str, attempt: int, now_ms: int
) -> tuple[FollowerState, Action]:
    sources = _source_order(state)
    source = sources[attempt % len(sources)]
    timeout_ms = PLATFORM_TIMEOUT_MS if source == PLATFORM else PEER_TIMEOUT_MS
    fetch = Fetch(source, attempt, now_ms + timeout_ms, is_requested=True)
    state = dataclasses.replace(state, fetches={**state.fetches, digest: fetch})
    return state, RequestChunk(digest, source)


def _try_next(state: FollowerState, digest: str, fetch: Fetch, now_ms: int) -> Step:
    """Try the next source at once; after a full round, delay and read the head."""
    attempt = fetch.attempt + 1
    rounds, source_index = divmod(attempt, len(_source_order(state)))
    if source_index:
        state, request = _request_chunk(state, digest, attempt, now_ms)
        return state, (request,)
    if rounds >= MAX_SOURCE_ROUNDS:
        return _without_target(state), (IncrementCounter("targets_dropped"), ReadHead())
    delay_ms = min(MIN_RETRY_DELAY_MS * 2 ** min(rounds, 10), MAX_RETRY_DELAY_MS)
    retry = Fetch(fetch.source, attempt, now_ms + delay_ms, is_requested=False)
    state = dataclasses.replace(state, fetches={**state.fetches, digest: retry})
    return state, (ReadHead(),)
