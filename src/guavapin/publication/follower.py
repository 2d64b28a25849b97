"""Decides which generation to adopt and where to fetch its chunks; pure.

A head is adopted only if its generation is above the one in force and all of its
chunks have arrived with the right digest.
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
# A peer in another zone answers in milliseconds; the platform's own deadline is 2 s.
FETCH_TIMEOUT_MS = 1_000
PLATFORM_TIMEOUT_MS = 3_000
MIN_RETRY_DELAY_MS = 100
MAX_RETRY_DELAY_MS = 5_000
MAX_REFUSED = 16
# A target that no source can complete is dropped, so that a head of a lower
# generation, still above the one in force, is not ignored for ever.
MAX_ROUNDS = 6


@dataclass(frozen=True, slots=True)
class Fetch:
    """A chunk being fetched from `source`, or, if not `is_asked`, waiting to be.

    `attempt` counts the sources tried; at `due_ms` the next one is tried.
    """

    source: str
    attempt: int
    due_ms: int
    is_asked: bool


@dataclass(frozen=True, slots=True)
class Follower:
    """State: the head in force with its chunks, and the one being fetched.

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
class AskChunk:
    """Ask `source` for a chunk; `PLATFORM` stands for the key-value service."""

    digest: str
    source: str


@dataclass(frozen=True, slots=True)
class Adopt:
    """Put `objects` in force; `source` is where the head came from first."""

    head: Head
    objects: ObjectSet
    source: str


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head again: the chunks of the target cannot be had anywhere."""


@dataclass(frozen=True, slots=True)
class Count:
    """Raise a counter."""

    counter: str


Action: TypeAlias = AskChunk | Adopt | ReadHead | Count
Step: TypeAlias = tuple[Follower, tuple[Action, ...]]


def on_head(state: Follower, head: Head, source: str, now_ms: int) -> Step:
    """Take note of a head that `source` holds."""
    if head.generation <= state.generation:
        return state, _compare(state.head, head)
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
    state: Follower, digest: str, data: bytes | None, source: str, now_ms: int
) -> Step:
    """Take a chunk, or None when `source` could not give it."""
    fetch = state.fetches.get(digest)
    if fetch is None:
        return state, ()
    if data is not None and digest_of(data) == digest:
        fetches = {key: item for key, item in state.fetches.items() if key != digest}
        state = dataclasses.replace(
            state, fetched={**state.fetched, digest: data}, fetches=fetches
        )
        return _advance(state, now_ms)
    if fetch.source != source or not fetch.is_asked:
        return state, ()
    reason = "chunks_missing" if data is None else "chunks_corrupted"
    state, actions = _try_next(state, digest, fetch, now_ms)
    return state, (Count(reason), *actions)


def on_tick(state: Follower, now_ms: int) -> Step:
    """Ask the next source where an answer is overdue."""
    actions: list[Action] = []
    for digest, fetch in state.fetches.items():
        if now_ms < fetch.due_ms or digest not in state.fetches:
            continue
        if fetch.is_asked:
            state, more = _try_next(state, digest, fetch, now_ms)
            actions.extend((Count("fetches_overdue"), *more))
        else:
            state, ask = _ask(state, digest, fetch.attempt, now_ms)
            actions.append(ask)
    return state, tuple(actions)


def _compare(mine: Head | None, other: Head) -> tuple[Action, ...]:
    if mine is None or other.generation < mine.generation:
        return (Count("older_heads"),)
    if other.publication_id != mine.publication_id:
        return (Count("differing_heads"),)
    return ()


def _add_source(state: Follower, target: Head, head: Head, source: str) -> Step:
    if head.publication_id != target.publication_id or source in state.sources:
        return state, ()
    return dataclasses.replace(state, sources=(*state.sources, source)), ()


def _advance(state: Follower, now_ms: int) -> Step:
    """Ask for missing chunks, or adopt the target when there are none."""
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
        state, ask = _ask(state, digest, 0, now_ms)
        actions.append(ask)
    return state, tuple(actions)


def _adopt(state: Follower, target: Head) -> Step:
    joined = join(state.fetched[digest] for digest in target.digests)
    source = state.sources[0]
    if isinstance(joined, Refused):
        refused = (*state.refused, target.publication_id)[-MAX_REFUSED:]
        cleared = _without_target(state)
        return (
            dataclasses.replace(cleared, refused=refused),
            (Count("undecodable_heads"),),
        )
    state = dataclasses.replace(
        _without_target(state), head=target, chunks=state.fetched
    )
    return state, (Adopt(target, joined.value, source),)


def _without_target(state: Follower) -> Follower:
    return dataclasses.replace(state, target=None, fetched={}, fetches={}, sources=())


def _order(state: Follower) -> tuple[str, ...]:
    """Return the sources: those that have the target, and the platform."""
    known = state.sources
    return known if PLATFORM in known else (*known, PLATFORM)


def _ask(
    state: Follower, digest: str, attempt: int, now_ms: int
) -> tuple[Follower, Action]:
    order = _order(state)
    source = order[attempt % len(order)]
    timeout_ms = PLATFORM_TIMEOUT_MS if source == PLATFORM else FETCH_TIMEOUT_MS
    fetch = Fetch(source, attempt, now_ms + timeout_ms, is_asked=True)
    state = dataclasses.replace(state, fetches={**state.fetches, digest: fetch})
    return state, AskChunk(digest, source)


def _try_next(state: Follower, digest: str, fetch: Fetch, now_ms: int) -> Step:
    """Ask the next source at once; once all were asked, wait and read the head."""
    attempt = fetch.attempt + 1
    rounds, place = divmod(attempt, len(_order(state)))
    if place:
        state, ask = _ask(state, digest, attempt, now_ms)
        return state, (ask,)
    if rounds >= MAX_ROUNDS:
        return _without_target(state), (Count("targets_dropped"), ReadHead())
    delay_ms = min(MIN_RETRY_DELAY_MS * 2 ** min(rounds, 10), MAX_RETRY_DELAY_MS)
    waiting = Fetch(fetch.source, attempt, now_ms + delay_ms, is_asked=False)
    state = dataclasses.replace(state, fetches={**state.fetches, digest: waiting})
    return state, (ReadHead(),)
