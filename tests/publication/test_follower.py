from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.publication import follower
from guavapin.publication.follower import PLATFORM
from guavapin.publication.follower import Adopt
from guavapin.publication.follower import FollowerState
from guavapin.publication.follower import IncrementCounter
from guavapin.publication.follower import ReadHead
from guavapin.publication.follower import RequestChunk
from guavapin.publication.head import next_head
from guavapin.publication.snapshot import digest_of
from guavapin.publication.snapshot import split
from guavapin_demo.sites import build_fleet

FLEETS = [build_fleet(hosts, 3, 2) for hosts in (30, 31, 32)]
CHUNKS = [split(fleet) for fleet in FLEETS]
ALL_CHUNKS = {key: data for chunks in CHUNKS for key, data in chunks.items()}


def make_heads():
    heads, head = [], None
    for index, chunks in enumerate(CHUNKS):
        head = next_head(head, chunks, f"id{index}", "", "author", 0)
        heads.append(head)
    return heads


HEADS = make_heads()


def adopt(state: FollowerState, index: int) -> FollowerState:
    state, actions = follower.on_head(state, HEADS[index], PLATFORM, 0)
    pending = list(actions)
    while pending:
        action = pending.pop()
        if isinstance(action, RequestChunk):
            data = ALL_CHUNKS[action.digest]
            state, more = follower.on_chunk(
                state, action.digest, data, action.source, 0
            )
            pending.extend(more)
    return state


def test_only_changed_chunks_are_fetched():
    state = adopt(FollowerState(), 0)
    assert state.generation == 1
    state, actions = follower.on_head(state, HEADS[1], "peer", 0)
    asked = {item.digest for item in actions if isinstance(item, RequestChunk)}
    assert asked and asked <= CHUNKS[1].keys() - CHUNKS[0].keys()


def test_older_generation_is_never_adopted_and_a_differing_one_is_counted():
    state = adopt(FollowerState(), 1)
    assert follower.on_head(state, HEADS[0], "p", 0) == (
        state,
        (IncrementCounter("older_heads"),),
    )
    forged = next_head(HEADS[0], CHUNKS[0], "other", "", "author", 0)
    after, actions = follower.on_head(state, forged, "p", 0)
    assert (after, actions) == (state, (IncrementCounter("differing_heads"),))


def test_corrupted_chunk_is_counted_and_fetched_from_the_next_source():
    state, actions = follower.on_head(FollowerState(), HEADS[0], "peer", 0)
    digest = actions[0].digest
    state, actions = follower.on_chunk(state, digest, b"damaged", "peer", 0)
    assert actions == (
        IncrementCounter("chunks_corrupted"),
        RequestChunk(digest, PLATFORM),
    )
    assert state.generation == 0


def test_overdue_chunk_is_requested_elsewhere_and_a_late_answer_is_used():
    state, actions = follower.on_head(FollowerState(), HEADS[0], "peer", 0)
    digest = actions[0].digest
    state, actions = follower.on_tick(state, follower.PEER_TIMEOUT_MS)
    assert RequestChunk(digest, PLATFORM) in actions
    state, _ = follower.on_chunk(state, digest, ALL_CHUNKS[digest], "peer", 2_000)
    assert digest in state.fetched


def test_target_that_no_source_can_complete_is_dropped_for_a_lower_one():
    # The head of a lost store must not block heads whose chunks are available.
    state, actions = follower.on_head(FollowerState(), HEADS[2], PLATFORM, 0)
    now_ms = 0
    while state.target is not None:
        assert now_ms < 600_000
        for action in actions:
            if isinstance(action, RequestChunk):
                state, _ = follower.on_chunk(
                    state, action.digest, None, action.source, now_ms
                )
        now_ms += 100
        state, actions = follower.on_tick(state, now_ms)
    assert adopt(state, 0).generation == 1


def test_chunks_missing_everywhere_lead_to_a_new_read_of_the_head():
    state, actions = follower.on_head(FollowerState(), HEADS[0], PLATFORM, 0)
    _, actions = follower.on_chunk(state, actions[0].digest, None, PLATFORM, 0)
    assert actions == (IncrementCounter("chunks_missing"), ReadHead())


def test_undecodable_publication_is_refused_and_not_fetched_again():
    data = b"\xc1 no MessagePack"
    head = next_head(None, [digest_of(data)], "bad", "", "author", 0)
    state, _ = follower.on_head(FollowerState(), head, PLATFORM, 0)
    state, actions = follower.on_chunk(state, digest_of(data), data, PLATFORM, 0)
    assert actions == (IncrementCounter("undecodable_heads"),)
    assert follower.on_head(state, head, "peer", 0) == (state, ())


EVENTS = st.one_of(
    st.tuples(st.just("head"), st.integers(0, 2), st.sampled_from(["", "p", "q"])),
    st.tuples(
        st.just("chunk"),
        st.sampled_from(sorted(ALL_CHUNKS)),
        st.sampled_from(["good", "bad", "none"]),
    ),
    st.tuples(st.just("tick"), st.integers(0, 4_000), st.just("")),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(EVENTS, max_size=120))
def test_generations_only_rise_and_content_is_complete(events):
    state, now_ms = FollowerState(), 0
    for kind, value, extra in events:
        before = state.generation
        if kind == "head":
            state, actions = follower.on_head(state, HEADS[value], extra, now_ms)
        elif kind == "tick":
            now_ms += value
            state, actions = follower.on_tick(state, now_ms)
        else:
            data = {"good": ALL_CHUNKS[value], "bad": b"bad", "none": None}[extra]
            source = state.fetches[value].source if value in state.fetches else "p"
            state, actions = follower.on_chunk(state, value, data, source, now_ms)
        adopted = [item for item in actions if isinstance(item, Adopt)]
        assert state.generation >= before
        assert (state.generation > before) == bool(adopted)
        for item in adopted:
            assert item.objects == FLEETS[item.head.generation - 1]


@pytest.mark.parametrize("index", range(3))
def test_any_generation_is_adopted_from_the_empty_state(index):
    assert adopt(FollowerState(), index).generation == index + 1
