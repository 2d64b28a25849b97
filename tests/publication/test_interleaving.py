from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.keyvalue.messages import Delete
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import KeyRevision
from guavapin.keyvalue.messages import ListPrefix
from guavapin.keyvalue.messages import Put
from guavapin.publication import head as heads
from guavapin.publication.collector import removable_chunks
from guavapin.publication.head import CHUNK_PREFIX
from guavapin.publication.head import HEAD_KEY
from guavapin.publication.head import decode_head
from guavapin.publication.head import generation_of
from guavapin.publication.merge import diff
from guavapin.publication.messages import Conflict
from guavapin.publication.messages import Published
from guavapin.publication.messages import Rollback
from guavapin.publication.snapshot import join
from tests.publication.jobs import FLEET
from tests.publication.jobs import Runner
from tests.publication.jobs import check_store
from tests.publication.jobs import head_in
from tests.publication.jobs import objects_in
from tests.publication.jobs import publish_fleet
from tests.publication.jobs import set_cores
from tests.publication.store import Fault
from tests.publication.store import Store

HOSTS = ("h00003", "h00004")


class Collector:
    """A garbage collection that can be paused between any two of its calls."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.listed: tuple[KeyRevision, ...] | None = None
        self.removals: list[KeyRevision] | None = None

    def step(self) -> None:
        if self.listed is None:
            self.listed = self.store.call(ListPrefix("", 0, CHUNK_PREFIX)).keys
        elif self.removals is None:
            found = self.store.call(Get("", 0, HEAD_KEY))
            head = decode_head(found.value).value
            self.removals = list(removable_chunks(self.listed, head, found.revision))
        elif self.removals:
            item = self.removals.pop()
            self.store.call(Delete("", 0, item.key, item.revision))
        else:
            self.listed = self.removals = None


@pytest.fixture
def short_history(monkeypatch):
    """Make chunks removable after 2 generations instead of 64."""
    monkeypatch.setattr(heads, "HISTORY_GENERATIONS", 2)


FAULTS = st.sampled_from([Fault.NONE] * 6 + list(Fault)[1:])
STEPS = st.lists(st.tuples(st.integers(0, 5), st.integers(1, 18)), max_size=60)


def requests_for(index: int, generation: int, cores: int, store: Store):
    host = HOSTS[index % 2]
    if index == 3 and generation > 1:
        return Rollback(generation, generation - 1, "c", "")
    old = objects_in(store).hosts[host].cores
    return set_cores(host, cores, generation, old)


@pytest.mark.usefixtures("short_history")
@settings(derandomize=True, max_examples=150, deadline=None)
@given(STEPS, st.lists(FAULTS, max_size=200))
def test_no_published_change_is_lost(steps, faults):
    # Four publishers and a collector advance in any order, with any fault.
    store = Store()
    publish_fleet(store)
    fates = iter(faults)
    store.fault_of = lambda request: (
        next(fates, Fault.NONE) if isinstance(request, Get | Put) else Fault.NONE
    )
    runners: dict[int, Runner] = {}
    collectors = [Collector(store), Collector(store)]
    published: dict[str, int] = {}
    requests: dict[str, object] = {}
    numbers = iter(range(17, 10_000))
    last = 1
    for who, count in steps:
        for _ in range(count):
            if who >= 4:
                _without_faults(store, collectors[who - 4].step)
            else:
                runner = runners.get(who)
                if runner is None or runner.result is not None:
                    number = next(numbers)
                    request = requests_for(
                        who, head_in(store).generation, number, store
                    )
                    requests[f"id{number}"] = request
                    runner = runners[who] = Runner(store, request, f"id{number}")
                runner.step()
                if isinstance(runner.result, Published):
                    published[runner.name] = runner.result.generation
            assert head_in(store).generation >= last
            last = head_in(store).generation
            check_store(store)
    _check_generations(store, requests, published)


def _without_faults(store: Store, step) -> None:
    fault_of, store.fault_of = store.fault_of, lambda request: Fault.NONE
    step()
    store.fault_of = fault_of


def _check_generations(
    store: Store, requests: dict[str, object], published: dict[str, int]
) -> None:
    """Assert that each generation differs from the last by its publication only."""
    written = [
        decode_head(value).value for key, value in store.history if key == HEAD_KEY
    ]
    assert [head.generation for head in written] == list(range(1, len(written) + 1))
    ids = [head.publication_id for head in written]
    assert len(set(ids)) == len(ids)
    chunks = {
        key.removeprefix(CHUNK_PREFIX): value
        for key, value in store.history
        if key.startswith(CHUNK_PREFIX)
    }
    contents = [
        join(chunks[digest] for digest in head.digests).value for head in written
    ]
    for head, (previous, content) in zip(
        written[1:], itertools.pairwise(contents), strict=True
    ):
        request = requests[head.publication_id]
        changes = diff(previous, content)
        assert changes
        if isinstance(request, Rollback):
            target = contents[request.generation - 1]
            assert all(
                change.new == target.hosts.get(change.name) for change in changes
            )
        else:
            assert [item.new for item in changes] == [
                item.new for item in request.changes
            ]
    for name, generation in published.items():
        # A request whose change is in force already returns the current generation.
        request = requests[name]
        if name in ids:
            assert ids.index(name) + 1 == generation
        elif not isinstance(request, Rollback):
            (change,) = request.changes
            assert contents[generation - 1].hosts[change.name] == change.new


@pytest.mark.usefixtures("short_history")
def test_collection_removes_only_what_no_kept_generation_contains():
    store = Store()
    publish_fleet(store)
    for index in range(6):
        request = set_cores(HOSTS[0], 17 + index, 1 + index, 16 + index)
        assert Runner(store, request, f"id{index}").run() == Published(2 + index)
    before = sum(key.startswith(CHUNK_PREFIX) for key in store.values)
    collector = Collector(store)
    for _ in range(10):
        collector.step()
    after = sum(key.startswith(CHUNK_PREFIX) for key in store.values)
    assert before - after == 4
    check_store(store)


@pytest.mark.usefixtures("short_history")
@pytest.mark.parametrize("pause", range(16))
def test_paused_publisher_succeeds_after_its_chunks_are_collected(pause):
    # The chunk of the paused publication exists, is unused and may be removed.
    store = Store()
    publish_fleet(store)
    for index in range(4):
        request = set_cores(HOSTS[0], 17 + index, 1 + index, 16 + index)
        Runner(store, request, f"id{index}").run()
    paused = Runner(store, set_cores(HOSTS[0], 17, 5, 20), "paused")
    for _ in range(pause):
        if paused.result is None:
            paused.step()
    collector = Collector(store)
    for _ in range(10):
        collector.step()
    assert paused.run() == Published(6)
    check_store(store)
    assert objects_in(store).hosts[HOSTS[0]].cores == 17


@pytest.mark.usefixtures("short_history")
@pytest.mark.parametrize("pause", range(1, 5))
def test_paused_collector_removes_no_chunk_that_is_used_again(pause):
    store = Store()
    publish_fleet(store)
    for index in range(4):
        request = set_cores(HOSTS[0], 17 + index, 1 + index, 16 + index)
        Runner(store, request, f"id{index}").run()
    collector = Collector(store)
    for _ in range(pause):
        collector.step()
    # Restores the content of generation 2, whose chunk is about to be removed.
    assert Runner(store, set_cores(HOSTS[0], 17, 5, 20), "again").run() == Published(6)
    for _ in range(10):
        collector.step()
    check_store(store)


def test_publication_during_an_outage_times_out_and_is_not_in_force():
    store = Store()
    publish_fleet(store)
    store.fault_of = lambda request: Fault.NOT_SENT
    runner = Runner(store, set_cores(HOSTS[0], 8), "a")
    for _ in range(100):
        runner.step()
    result = runner.expire()
    assert isinstance(result, Refused) and result.reason is Reason.TIMEOUT
    assert generation_of(head_in(store), "a") is None


def test_two_operators_on_the_same_object_never_both_succeed():
    for first_steps in range(16):
        store = Store()
        publish_fleet(store)
        first = Runner(store, set_cores(HOSTS[0], 8), "a")
        second = Runner(store, set_cores(HOSTS[0], 4), "b")
        for _ in range(first_steps):
            first.step()
        results = [second.run(), first.run()]
        kinds = {type(result) for result in results}
        assert kinds == {Published, Conflict}
        assert objects_in(store).hosts[HOSTS[0]].cores in (4, 8)
        assert len(objects_in(store).hosts) == len(FLEET.hosts)
