from __future__ import annotations

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Refused
from guavapin.objects.model import ObjectSet
from guavapin.publication import head as heads
from guavapin.publication.audit import decode_audit
from guavapin.publication.head import Head
from guavapin.publication.head import decode_head
from guavapin.publication.head import digests_at
from guavapin.publication.head import encode_head
from guavapin.publication.head import generation_of
from guavapin.publication.head import kept_digests
from guavapin.publication.head import next_head
from guavapin.publication.snapshot import MAX_CHUNK_BYTES
from guavapin.publication.snapshot import join
from guavapin.publication.snapshot import split
from guavapin_demo.sites import build_fleet


def test_set_round_trips_and_one_change_rewrites_one_chunk():
    fleet = build_fleet()
    chunks = split(fleet)
    assert join(chunks.values()) == Ok(fleet)
    host = dataclasses.replace(fleet.hosts["h00007"], cores=99)
    changed = split(dataclasses.replace(fleet, hosts={**fleet.hosts, host.name: host}))
    assert len(changed.keys() - chunks.keys()) == 1


def test_large_set_keeps_every_chunk_under_the_limit():
    # A chunk above the store's value limit would make the set unpublishable.
    fleet = build_fleet(hosts=40_000, pools=400)
    chunks = split(fleet)
    assert max(map(len, chunks.values())) <= MAX_CHUNK_BYTES
    assert len(chunks) > 16
    assert join(chunks.values()) == Ok(fleet)


def test_empty_set_round_trips_and_broken_chunks_are_refused():
    assert split(ObjectSet()) == {}
    assert join(()) == Ok(ObjectSet())
    chunk = next(iter(split(build_fleet(20, 2, 2)).values()))
    assert isinstance(join((chunk, chunk)), Refused)
    assert isinstance(join((chunk[:-1],)), Refused)


def test_history_gives_the_digests_of_each_kept_generation():
    head: Head | None = None
    contents = {}
    for generation in range(1, 200):
        digests = {"a", f"b{generation // 3}", f"c{generation % 2}"}
        head = next_head(head, digests, f"id{generation}", "x", "author", 0)
        contents[generation] = digests
    assert head is not None and head.generation == 199
    for generation, digests in contents.items():
        found = digests_at(head, generation)
        if generation >= head.oldest:
            assert found is not None and sorted(found) == sorted(digests)
            assert kept_digests(head) >= digests
        else:
            assert found is None
    assert head.generation - head.oldest == heads.HISTORY_GENERATIONS
    assert digests_at(head, 200) is None
    assert generation_of(head, "id190") == 190
    assert generation_of(head, "id1") is None
    assert decode_head(encode_head(head)) == Ok(head)


def test_head_stays_small_when_every_publication_rewrites_all_chunks():
    # The head is a single value and must not exceed the store's limit.
    head: Head | None = None
    for generation in range(1, 130):
        digests = [f"{generation:04d}{index:036d}" for index in range(100)]
        head = next_head(head, digests, "i" * 32, "x", "author", 0)
    assert head is not None
    assert len(encode_head(head)) < 200_000
    assert digests_at(head, head.oldest) is not None


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_never_raise(data):
    assert isinstance(decode_head(data), Refused)
    assert isinstance(decode_audit(data), Refused)
    assert isinstance(join((data,)), Ok | Refused)
