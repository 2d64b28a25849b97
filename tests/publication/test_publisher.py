from __future__ import annotations

import dataclasses
import itertools

import pytest

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.keyvalue.messages import Put
from guavapin.objects.model import ObjectSet
from guavapin.publication.audit import MAX_AUDIT_BYTES
from guavapin.publication.audit import decode_audit
from guavapin.publication.head import AUDIT_PREFIX
from guavapin.publication.head import CHUNK_PREFIX
from guavapin.publication.head import HEAD_KEY
from guavapin.publication.head import RECENT_PUBLICATIONS
from guavapin.publication.head import generation_of
from guavapin.publication.messages import Change
from guavapin.publication.messages import Conflict
from guavapin.publication.messages import Publish
from guavapin.publication.messages import Published
from guavapin.publication.messages import PublishSet
from guavapin.publication.messages import Rejected
from guavapin.publication.messages import Rollback
from guavapin.publication.plan import validate_request
from guavapin_demo.sites import build_fleet
from tests.publication.jobs import FLEET
from tests.publication.jobs import Runner
from tests.publication.jobs import check_store
from tests.publication.jobs import head_in
from tests.publication.jobs import objects_in
from tests.publication.jobs import publish_fleet
from tests.publication.jobs import set_cores
from tests.publication.store import MAX_VALUE_BYTES
from tests.publication.store import Fault
from tests.publication.store import Store

# Read head, read 11 chunks, write chunk, write audit value, write head.
CALLS = 15
HOST, OTHER = "h00003", "h00004"


@pytest.fixture
def store() -> Store:
    store = Store()
    publish_fleet(store)
    store.calls.clear()
    return store


def fault_at(store: Store, index: int, fault: Fault, times: int = 1) -> None:
    counter = itertools.count()
    store.fault_of = lambda request: (
        fault if index <= next(counter) < index + times else Fault.NONE
    )


def test_publication_without_faults(store):
    assert Runner(store, set_cores(HOST, 8), "a").run() == Published(2)
    assert len(store.calls) == CALLS
    assert objects_in(store).hosts[HOST].cores == 8
    check_store(store)


@pytest.mark.parametrize("index", range(CALLS))
@pytest.mark.parametrize("fault", list(Fault)[1:], ids=str)
def test_fault_at_each_call_makes_exactly_one_generation(store, index, fault):
    # If the answer to an effective write is lost, the retry must not publish twice.
    fault_at(store, index, fault, times=2)
    assert Runner(store, set_cores(HOST, 8), "a").run() == Published(2)
    store.fault_of = lambda request: Fault.NONE
    assert head_in(store).generation == 2
    assert objects_in(store).hosts[HOST].cores == 8
    check_store(store)


@pytest.mark.parametrize("pause", range(CALLS + 1))
def test_publisher_paused_at_each_step_merges_with_another(store, pause):
    paused = Runner(store, set_cores(HOST, 8), "a")
    for _ in range(pause):
        paused.step()
    assert Runner(store, set_cores(OTHER, 4), "b").run() in (Published(2), Published(3))
    assert paused.run() in (Published(2), Published(3))
    hosts = objects_in(store).hosts
    assert (hosts[HOST].cores, hosts[OTHER].cores) == (8, 4)
    check_store(store)
    # The audit value of a failed attempt is removed.
    assert sum(key.startswith(AUDIT_PREFIX) for key in store.values) == 3


@pytest.mark.parametrize("pause", range(CALLS))
def test_publisher_paused_at_each_step_reports_both_sides_of_a_conflict(store, pause):
    paused = Runner(store, set_cores(HOST, 8), "a")
    for _ in range(pause):
        paused.step()
    assert Runner(store, set_cores(HOST, 4), "b").run() == Published(2)
    result = paused.run()
    assert isinstance(result, Conflict) and result.generation == 2
    (conflict,) = result.conflicts
    sides = [conflict.base, conflict.theirs, conflict.yours]
    assert [host.cores for host in sides] == [16, 4, 8]
    assert objects_in(store).hosts[HOST].cores == 4


@pytest.mark.parametrize("others", [0, 1, RECENT_PUBLICATIONS - 1])
def test_lost_answer_of_the_head_is_resolved_after_others_published(store, others):
    fault_at(store, CALLS - 1, Fault.ANSWER_LOST)
    publisher = Runner(store, set_cores(HOST, 8), "a")
    for _ in range(CALLS):
        publisher.step()
    store.fault_of = lambda request: Fault.NONE
    for index in range(others):
        request = set_cores(OTHER, 17 + index, 2, 16 + index)
        assert Runner(store, request, f"b{index}").run() == Published(3 + index)
    assert publisher.run() == Published(2)
    assert head_in(store).generation == 2 + others


def test_answer_lost_beyond_the_history_is_reported_as_unknown(store):
    # Publishing again could restore a value that another author has replaced since.
    fault_at(store, CALLS - 1, Fault.ANSWER_LOST)
    publisher = Runner(store, set_cores(HOST, 8), "a")
    for _ in range(CALLS):
        publisher.step()
    store.fault_of = lambda request: Fault.NONE
    for index in range(RECENT_PUBLICATIONS):
        request = set_cores(OTHER, 17 + index, 2, 16 + index)
        Runner(store, request, f"b{index}").run()
    result = publisher.run()
    assert isinstance(result, Refused) and result.reason is Reason.OUTCOME_UNKNOWN


@pytest.mark.parametrize("index", range(CALLS + 1))
@pytest.mark.parametrize("fault", list(Fault), ids=str)
def test_expired_publication_reports_whether_it_may_be_in_force(store, index, fault):
    fault_at(store, index - 1, fault)
    publisher = Runner(store, set_cores(HOST, 8), "a")
    for _ in range(index):
        publisher.step()
    result = publisher.expire()
    is_in_force = generation_of(head_in(store), "a") is not None
    if isinstance(result, Published):
        assert is_in_force
        return
    assert isinstance(result, Refused)
    # The write of the head is in flight, or its answer was lost.
    if (index, fault) in {(CALLS - 1, Fault.NONE), (CALLS, Fault.ANSWER_LOST)}:
        assert result.reason is Reason.OUTCOME_UNKNOWN
    else:
        assert result.reason is Reason.TIMEOUT and not is_in_force


def test_repeated_request_is_answered_with_the_same_generation(store):
    assert Runner(store, set_cores(HOST, 8), "a").run() == Published(2)
    assert Runner(store, set_cores(OTHER, 4), "b").run() == Published(3)
    assert Runner(store, set_cores(HOST, 8), "a").run() == Published(2)
    # The same change with another id has no effect.
    assert Runner(store, set_cores(HOST, 8), "c").run() == Published(3)
    assert head_in(store).generation == 3


def test_faulty_set_is_rejected_with_all_faults_and_writes_nothing(store):
    bad = tuple(
        Change("host", name, FLEET.hosts[name], None) for name in sorted(FLEET.hosts)
    )
    before = dict(store.values)
    result = Runner(store, Publish(1, bad, "a", ""), "a").run()
    assert isinstance(result, Rejected) and len(result.faults) >= 3
    assert store.values == before


def test_changes_that_are_valid_alone_but_not_together_are_rejected(store):
    host = dataclasses.replace(FLEET.hosts[HOST], name="new", address="127.0.0.1:1")
    quota = dataclasses.replace(FLEET.quotas["team-00"], name="q", team="t")
    service = FLEET.services[quota.service]
    first = Publish(1, (Change("team_quota", "q", None, quota),), "a", "")
    drop = (
        Change("service", service.name, service, None),
        Change("team_quota", "team-00", FLEET.quotas["team-00"], None),
        Change("host", "new", None, host),
    )
    second = Runner(store, Publish(1, drop, "b", ""), "b")
    second.step()
    assert Runner(store, first, "a").run() == Published(2)
    assert isinstance(second.run(), Rejected)


@pytest.mark.parametrize("others", [0, 1])
def test_rollback_is_a_new_generation_that_keeps_later_changes(store, others):
    Runner(store, set_cores(HOST, 8), "a").run()
    for _ in range(others):
        Runner(store, set_cores(OTHER, 4, 2), "b").run()
    rollback = Rollback(2, 1, "author", "wrong cores")
    assert Runner(store, rollback, "r").run() == Published(3 + others)
    hosts = objects_in(store).hosts
    assert hosts[HOST].cores == 16
    assert hosts[OTHER].cores == (4 if others else 16)
    check_store(store)


def test_rollback_conflicts_with_a_later_change_of_the_same_object(store):
    Runner(store, set_cores(HOST, 8), "a").run()
    Runner(store, set_cores(HOST, 9, 2, 8), "b").run()
    assert isinstance(Runner(store, Rollback(2, 1, "c", ""), "r").run(), Conflict)
    result = Runner(store, Rollback(3, 9, "c", ""), "r").run()
    assert isinstance(result, Refused) and result.reason is Reason.MISSING


def test_whole_set_is_merged_against_its_base(store):
    edited = dataclasses.replace(
        FLEET,
        hosts={**FLEET.hosts, HOST: dataclasses.replace(FLEET.hosts[HOST], cores=8)},
    )
    Runner(store, set_cores(OTHER, 4), "b").run()
    result = Runner(store, PublishSet(1, edited, "author", ""), "a").run()
    assert result == Published(3)
    hosts = objects_in(store).hosts
    assert (hosts[HOST].cores, hosts[OTHER].cores) == (8, 4)


@pytest.mark.parametrize(
    "request_",
    [PublishSet(1, ObjectSet(), "author", ""), Rollback(1, 0, "author", "")],
    ids=["empty set", "rollback to nothing"],
)
def test_set_without_objects_is_refused(store, request_):
    # An empty file, given by mistake, must not take all pools out of service.
    result = Runner(store, request_, "a").run()
    assert isinstance(result, Refused) and result.reason is Reason.BAD_INPUT
    assert head_in(store).generation == 1


def test_base_above_the_head_is_refused(store):
    result = Runner(store, set_cores(HOST, 8, base=9), "a").run()
    assert isinstance(result, Refused) and result.reason is Reason.BAD_INPUT


def test_platform_that_lost_generations_is_not_published_to(store):
    job = Runner(store, set_cores(HOST, 8), "a")
    job.job = dataclasses.replace(job.job, min_generation=5)
    result = job.run()
    assert isinstance(result, Refused) and result.reason is Reason.CONFLICT
    assert head_in(store).generation == 1


@pytest.mark.parametrize("damage", [b"damaged", None])
def test_damaged_chunk_is_refused_and_nothing_is_written(store, damage):
    key = next(key for key in store.values if key.startswith(CHUNK_PREFIX))
    if damage is None:
        del store.values[key]
    else:
        store.values[key] = (damage, store.values[key][1])
    before = dict(store.values)
    result = Runner(store, set_cores(HOST, 8), "a").run()
    assert isinstance(result, Refused) and result.reason is Reason.MISSING
    assert store.values == before


def test_damaged_head_is_not_overwritten(store):
    store.values[HEAD_KEY] = (b"damaged", store.revision)
    result = Runner(store, set_cores(HOST, 8), "a").run()
    assert isinstance(result, Refused) and result.reason is Reason.BAD_INPUT
    assert store.values[HEAD_KEY][0] == b"damaged"


def test_two_year_fleet_stays_under_the_value_limit():
    store = Store()
    request = PublishSet(0, build_fleet(), "author", "")
    assert Runner(store, request, "a").run() == Published(1)
    puts = [call for call in store.calls if isinstance(call, Put)]
    assert max(len(call.value) for call in puts) < MAX_VALUE_BYTES


def test_audit_value_holds_both_sides_and_is_bounded():
    store = Store()
    Runner(store, PublishSet(0, build_fleet(4_000, 40), "author", "why"), "a").run()
    host = objects_in(store).hosts[HOST]
    change = Change("host", HOST, host, dataclasses.replace(host, cores=8))
    Runner(store, Publish(1, (change,), "ana", "upgrade"), "b").run()
    keys = sorted(key for key in store.values if key.startswith(AUDIT_PREFIX))
    audits = [decode_audit(store.values[key][0]) for key in keys]
    assert all(isinstance(audit, Ok) for audit in audits)
    first, second = (audit.value for audit in audits)
    assert len(store.values[keys[0]][0]) <= MAX_AUDIT_BYTES
    assert first.omitted > 0
    (entry,) = second.entries
    assert (entry.actor, entry.reason, entry.object) == (
        "ana",
        "upgrade",
        f"host/{HOST}",
    )
    assert '"cores":8' in entry.new and '"cores"' not in entry.old
    assert keys[0].endswith(second.previous)


HOST_OBJECT = FLEET.hosts[HOST]


@pytest.mark.parametrize(
    "request_",
    [
        Publish(0, (), "", ""),
        Publish(0, (), "a" * 129, ""),
        Publish(0, (), "a", "r" * 1_001),
        Publish(0, (Change("hosts", HOST, None, HOST_OBJECT),), "a", ""),
        Publish(0, (Change("pool", HOST, None, HOST_OBJECT),), "a", ""),
        Publish(0, (Change("host", "x", None, HOST_OBJECT),), "a", ""),
        Publish(0, (Change("host", HOST, None, HOST_OBJECT),) * 2, "a", ""),
        PublishSet(0, ObjectSet(), "", ""),
    ],
)
def test_malformed_request_is_refused(request_):
    refusal = validate_request(request_)
    assert refusal is not None and refusal.reason is Reason.BAD_INPUT
