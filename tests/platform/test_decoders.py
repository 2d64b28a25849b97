"""Decoding untrusted bytes never raises, and yields only what the bytes hold."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavapin.executors.model import Done
from guavapin.executors.model import EndKind
from guavapin.executors.model import HostOrder
from guavapin.executors.model import HostReport
from guavapin.executors.model import Look
from guavapin.executors.model import NoAnswer
from guavapin.executors.model import Refusal
from guavapin.executors.model import RefusalKind
from guavapin.executors.model import Start
from guavapin.http.messages import Answered
from guavapin.http.messages import Unanswered
from guavapin.intake.peer_codec import decode_peer_answer
from guavapin.intake.peer_codec import decode_peer_call
from guavapin.intake.peer_codec import encode_peer_answer
from guavapin.intake.peer_codec import encode_peer_call
from guavapin.jobs.access import Access
from guavapin.jobs.calls import Accepted
from guavapin.jobs.calls import BadCall
from guavapin.jobs.calls import CancelJob
from guavapin.jobs.calls import CountWaiting
from guavapin.jobs.calls import NoSuchJob
from guavapin.jobs.calls import QueryJob
from guavapin.jobs.calls import Rejected
from guavapin.jobs.calls import StateIs
from guavapin.jobs.calls import SubmitJob
from guavapin.jobs.calls import WaitingIs
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Subtask
from guavapin.keyvalue import messages as kv
from guavapin.machines.model import ListMachines
from guavapin.machines.model import MachinePage
from guavapin.machines.model import MachineState
from guavapin.machines.model import MoveMachine
from guavapin.machines.model import OrderRefusal
from guavapin.machines.model import OrderRefused
from guavapin.machines.model import Validity
from guavapin.platform.executors import PlatformAdviceCodec
from guavapin.platform.executors import PlatformExecutorCodec
from guavapin.platform.job_calls import decode_call
from guavapin.platform.job_calls import encode_answer
from guavapin.platform.machines import PlatformMachineCodec
from guavapin.platform.manifest import decode_manifest
from guavapin.platform.manifest import decode_registration
from guavapin.platform.manifest import decode_wave
from guavapin.platform.store import PlatformStoreCodec
from guavapin.scheduling.job_run import JobRun
from guavapin.scheduling.record import decode_job
from guavapin.scheduling.record import decode_progress
from guavapin.scheduling.record import encode_job
from guavapin.scheduling.record import encode_progress
from guavapin.serving.request_handler import MAX_BODY_BYTES

JOB_ID = "5c0e7a21d94b36f8"
MANIFEST = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "pule25.example",
            "prefix": "/puxa400/",
            "type": "non_idempotent",
            "timeout-ms": 3000,
            "latency-slo-ms": 600,
            "priority": 1,
            "service": "huvo11a",
            "attempts": 4,
            "stretch": 1.6,
            "hint": {"decide-ms": 5, "per-worker-ms": 1, "validity-ms": 3000},
        }
    ],
    "services": [{"name": "lohu93e", "standby": True, "rejects-overload": False}],
}
JOB = {
    "spec": "(text)",
    "steps": [
        {"count": 4, "cpu": 500, "mem-mb": 256, "estimate-ms": 900, "affinity": "r1-3"},
        {"count": 20, "cpu": 2000, "after": [0], "checkpoint": True, "may-miss": 2},
    ],
}


def as_bytes(value: object) -> bytes:
    return json.dumps(value).encode()


def test_a_manifest_is_decoded_into_queues_and_pools() -> None:
    # Guards against a field that is mapped to another one with a similar name.
    table = decode_manifest(as_bytes(MANIFEST))
    assert table is not None and table.version == 7
    queue = table.find("pule25.example", f"/puxa400/{JOB_ID}")
    assert queue is not None and queue.service == "huvo11a"
    assert (queue.attempts, queue.stretch, queue.latency_objective_ms) == (4, 1.6, 600)
    assert queue.advice is not None and queue.advice.validity_ms == 3000
    assert table.standby_pool == "lohu93e"
    assert table.find("other.example", "/puxa400/") is None


def test_the_longest_prefix_wins() -> None:
    # Guards against jobs that are routed to a queue with a shorter matching prefix.
    nested = {**MANIFEST["routes"][0], "prefix": "/puxa400/in/", "service": "inner"}
    manifest = {**MANIFEST, "routes": [MANIFEST["routes"][0], nested]}
    table = decode_manifest(as_bytes(manifest))
    assert table.find("pule25.example", f"/puxa400/in/{JOB_ID}").service == "inner"


def test_requests_of_callers_are_decoded_into_calls() -> None:
    # Guards against a request that is decoded as another call.
    queue = decode_manifest(as_bytes(MANIFEST)).queues[0]
    path = f"/puxa400/{JOB_ID}"
    call = decode_call(queue, "POST", path, as_bytes(JOB), 99)
    assert isinstance(call, SubmitJob)
    first, second = call.job.steps
    assert (first.preferred_rack, first.need.cpu_millis, first.may_be_absent) == (
        "r1-3",
        500,
        None,
    )
    assert second.saves_progress and second.after == (0,)
    assert second.may_be_absent == 2
    access = Access("acme", queue.key)
    query = decode_call(queue, "GET", path, b"", 0, "acme")
    assert query == QueryJob(JOB_ID, access)
    cancellation = decode_call(queue, "DELETE", path, b"", 0, "acme")
    assert cancellation == CancelJob(JOB_ID, access)
    assert decode_call(queue, "GET", "/puxa400/", b"", 0) == CountWaiting(queue.key)


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("POST", f"/puxa400/{JOB_ID}", b"{"),
        ("POST", f"/puxa400/{JOB_ID}", as_bytes({"spec": "x", "steps": []})),
        ("POST", f"/puxa400/{JOB_ID}", as_bytes({**JOB, "spec": "x" * 4001})),
        ("POST", f"/puxa400/{JOB_ID}", as_bytes({"spec": "", "steps": [{"count": 0}]})),
        (
            "POST",
            f"/puxa400/{JOB_ID}",
            as_bytes({"spec": "", "steps": [{"count": 1, "after": [0]}]}),
        ),
        ("GET", "/puxa400/short", b""),
        ("PUT", f"/puxa400/{JOB_ID}", b""),
    ],
)
def test_a_malformed_call_is_refused(method, path, body) -> None:
    # Guards against accepting a job that can never run, and against an exception that
    # stops the process.
    queue = decode_manifest(as_bytes(MANIFEST)).queues[0]
    assert isinstance(decode_call(queue, method, path, body, 0), BadCall)


def test_a_rejection_states_when_to_retry() -> None:
    # Guards against callers that retry at once or never, for want of a retry-after.
    status, headers, _ = encode_answer(Rejected("full", 1_500))
    assert status == 503 and (b"retry-after", b"2") in headers
    assert encode_answer(NoSuchJob())[0] == 410
    assert encode_answer(StateIs(JobState.RUNNING))[2] == b'{"state":"running"}'


def test_reports_of_executors_are_decoded() -> None:
    # Guards against a report that is accepted without a run or an end in it.
    body = {
        "clock-ms": 482113,
        "born": 17,
        "running": [[f"{JOB_ID}.0.1.17", 2, "0b", 41, 12.5]],
        "finished": [[58, f"{JOB_ID}.0.1.9", 1, "done", ""]],
    }
    codec, look = PlatformExecutorCodec(), Look(7, 57)
    report = codec.decode(look, Answered(200, as_bytes(body)))
    assert isinstance(report, HostReport) and report.born_ms == 17
    assert report.running[0].subtask == Subtask(JOB_ID, 0, 1, 17)
    assert (report.running[0].percent, report.running[0].load) == (41, 12.5)
    assert report.ended[0].kind is EndKind.DONE
    body["running"].append(["broken", 1, "", 0])
    assert isinstance(codec.decode(look, Answered(200, as_bytes(body))), NoAnswer)


@pytest.mark.parametrize(
    ("status", "reason", "kind"),
    [
        (409, "fence", RefusalKind.FENCED),
        (409, "old", RefusalKind.OUTDATED),
        (409, "late", RefusalKind.LATE),
        (409, "room", RefusalKind.NO_ROOM),
        (409, "ticket", RefusalKind.TICKET),
        (421, "", RefusalKind.OTHER_LIFE),
        (429, "", RefusalKind.UNHEALTHY),
        (503, "", RefusalKind.UNHEALTHY),
        (400, "", RefusalKind.MALFORMED),
    ],
)
def test_refusals_of_executors_are_distinguished(status, reason, kind) -> None:
    # Guards against a fenced scheduler that treats the refusal as a lack of capacity.
    order = Start(Subtask(JOB_ID, 0, 0, 0), 1, "s", "", 9, 7)
    body = as_bytes({"clock-ms": 5, "reason": reason})
    outcome = PlatformExecutorCodec().decode(order, Answered(status, body))
    assert isinstance(outcome, Refusal) and outcome.kind is kind


def test_an_empty_answer_to_a_poll_lists_nothing() -> None:
    # Guards against an empty answer that counts as a report without runs, so that those
    # at work on the executor start again elsewhere.
    outcome = PlatformExecutorCodec().decode(Look(7, 0), Answered(200, b""))
    assert isinstance(outcome, NoAnswer)


def test_orders_name_the_executor_that_they_are_for() -> None:
    # Guards against an order that is carried out by another executor at the same
    # address.
    order = HostOrder("s", 1, "10.0.0.1:80", "i-1", Look(7, 57, 9, 100), 500)
    call = PlatformExecutorCodec().encode("executors", 4, order)
    assert ("X-Expect-Instance", "i-1") in call.headers
    assert call.receiver == "i-1"
    assert call.resets_connection
    assert json.loads(call.body) == {
        "fencing-token": 7,
        "last-seen": 57,
        "deadline-ms": 9,
        "wait-ms": 100,
    }
    silent = PlatformExecutorCodec().decode(order.order, Unanswered(True, "cut"))
    assert silent == NoAnswer(True, "cut")
    assert isinstance(
        PlatformExecutorCodec().decode(
            Start(Subtask(JOB_ID, 0, 0, 0), 1, "", "", 0, 7), Answered(200, b"")
        ),
        Done,
    )


@pytest.mark.parametrize(
    "job",
    [
        {"steps": [{"count": 1, "cpu": 2**70}]},
        {"steps": [{"count": 1, "mem-mb": 2**64}]},
        {"steps": [{"count": 1, "cpu": -500}]},
        {"steps": [{"count": 1, "estimate-ms": 1.7e308}]},
        {"steps": [{"count": 1}], "repeats": 2, "start-at-ms": 1e300},
        {"steps": [{"count": 1}], "repeats": -1},
    ],
)
def test_a_job_with_a_number_out_of_range_is_rejected(job: dict[str, object]) -> None:
    # Guards against a stored job that ends every scheduler: the sum of two estimates
    # of 1.7e308 ms cannot be converted to a float.
    queue = decode_manifest(as_bytes(MANIFEST)).queues[0]
    body = as_bytes({"spec": "s", **job})
    call = decode_call(queue, "POST", f"/puxa400/{JOB_ID}", body, 0)
    assert isinstance(call, BadCall)


@pytest.mark.parametrize(
    "job",
    [
        {"steps": [{"count": 2_000_000_000, "estimate-ms": 100}]},
        {"steps": [{"count": 2_000}, {"count": 2_001}]},
        {"repeats": 2_000_000_000, "steps": [{"count": 1}]},
        {"repeats": 10, "steps": [{"count": 401}]},
    ],
)
def test_a_job_of_too_many_subtasks_is_rejected(job: dict[str, object]) -> None:
    # Guards against a job that ends each process that schedules for want of memory, one
    # after the other, so that nobody starts or stops other work.
    assert_rejected(job)


@pytest.mark.parametrize(
    "job",
    [
        {"steps": [{"count": 1}] * 1_001},
        {"steps": [{"count": 1}] * 99 + [{"count": 1, "after": [0, 98] * 4_001}]},
        {"repeats": 80, "steps": [{"count": 1}, {"count": 1, "after": [0] * 101}]},
        {"repeats": 501, "steps": [{"count": 1}, {"count": 1}]},
        {"steps": [{"count": 1, "image": "i" * 8_001}]},
    ],
)
def test_a_job_of_too_many_steps_is_rejected(job: dict[str, object]) -> None:
    # Guards against a record that the store does not take: its write was repeated
    # without end, with those of other jobs in one transaction.
    assert_rejected(job)


def test_the_records_of_the_largest_job_fit_into_a_value_of_the_store() -> None:
    # Guards against limits that the store's limit of 1 MB does not allow.
    step = {"count": 4, "cpu": 2**53, "mem-mb": 2**53, "gpus": 2**53, "after": [0] * 8}
    step |= {"estimate-ms": 2**53, "target-ms": 2**53, "max-per-server": 2**53}
    step |= {"may-miss": 2**53, "image": "i" * 8}
    steps = [{**step, "after": []}, *[step] * 999]
    body = as_bytes({"spec": "s" * 4_000, "steps": steps})
    queue = decode_manifest(as_bytes(MANIFEST)).queues[0]
    call = decode_call(queue, "POST", f"/puxa400/{JOB_ID}", body, 0)
    # The front takes bodies of up to 256 KB; this one is longer.
    assert len(body) > MAX_BODY_BYTES and isinstance(call, SubmitJob)
    job_run = JobRun(call.job, 0, is_inherited=False)
    for number in range(1_000):
        step_run = job_run.step_run((0, number))
        for index in range(4):
            step_run.record_saved(index, "00000bb87a21d94b")
            for attempt in range(3):
                step_run.record_failure(index, 9_999_999_000_000 + attempt)
    assert len(encode_job(call.job)) < 1_048_576
    assert len(encode_progress(job_run.progress())) < 1_048_576


def assert_rejected(job: dict[str, object]) -> None:
    queue = decode_manifest(as_bytes(MANIFEST)).queues[0]
    body = as_bytes({"spec": "s", **job})
    call = decode_call(queue, "POST", f"/puxa400/{JOB_ID}", body, 0)
    assert isinstance(call, BadCall)


@pytest.mark.parametrize(
    ("field", "stretch", "objective_ms"),
    [
        ({"latency-slo-ms": 1.7e308}, 1.6, 2**53),
        ({"stretch": 1.7e308}, 2**53, 600),
        ({"stretch": -1, "latency-slo-ms": -5}, 0, 0),
        ({"hint": {"validity-ms": 1.7e308}}, 1.6, 600),
    ],
)
def test_numbers_of_a_manifest_are_limited(field, stretch, objective_ms) -> None:
    # Guards against a manifest that ends every scheduler: a sum of a float and an
    # objective of 1.7e308 ms raises OverflowError. Left out as a whole, it would leave
    # each process that starts without a manifest.
    route = {**MANIFEST["routes"][0], **field}
    table = decode_manifest(as_bytes({**MANIFEST, "routes": [route]}))
    (queue,) = table.queues
    assert (queue.stretch, queue.latency_objective_ms) == (stretch, objective_ms)
    assert queue.advice.validity_ms <= 2**53


def test_a_wave_with_a_number_out_of_range_is_unreadable() -> None:
    # Guards against a duration whose conversion to milliseconds raises.
    wave = {"phase": 3, "machines": ["m"], "duration-s": 9, "cap": 2}
    assert decode_wave(as_bytes(wave)) is not None
    assert decode_wave(as_bytes({**wave, "duration-s": 1e306})) is None
    assert decode_wave(as_bytes({**wave, "phase": 2**70})) is None


def test_malformed_registrations_are_dropped() -> None:
    # Guards against unusable entries of another writer that are adopted as executors.
    entry = {
        "service": "s",
        "address": "10.128.0.9:8080",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 16000, "mem-mb": 32768, "gpus": 0},
        "labels": ["a", "r1-3"],
        "clock-ms": 482113,
        "born": 17,
    }
    decoded = decode_registration("servers/i-1", as_bytes(entry))
    assert decoded is not None and (decoded.executor_id, decoded.rack) == (
        "i-1",
        "r1-3",
    )
    for broken in (
        {**entry, "state": "confused"},
        {**entry, "address": "nowhere"},
        {**entry, "capacity": "much"},
        {key: value for key, value in entry.items() if key != "service"},
    ):
        assert decode_registration("servers/i-1", as_bytes(broken)) is None


USABLE_ENTRY = {
    "service": "huvo11a",
    "address": "10.0.0.7:8080",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpus": 0},
    "labels": ["a", "r1-3"],
    "clock-ms": 482113,
    "born": 17,
}


@pytest.mark.parametrize(
    "address",
    [
        "\ufeff10.0.0.7:8080",
        "[::1%r\u00e9seau]:8080",
        "10.0.0.7\x00:8080",
        "10.0.0.7 :8080",
        "10.0.0.7\r\nX-Header: 1:8080",
        "user@10.0.0.7:8080",
        "10.0.0.7/path:8080",
        "10.0.0.7:\u00b2",
        "10.0.0.7:0",
        "10.0.0.7:65536",
        "10.0.0.7:" + "9" * 5_000,
    ],
)
def test_an_entry_with_a_malformed_address_is_unusable(address: str) -> None:
    # Guards against an entry of another writer whose address libcurl rejects: the
    # exception ended every process that scheduled.
    assert decode_registration("servers/i-1", as_bytes(USABLE_ENTRY)) is not None
    entry = {**USABLE_ENTRY, "address": address}
    assert decode_registration("servers/i-1", as_bytes(entry)) is None


@pytest.mark.parametrize("address", ["worker-7.example:80", "[fe80::1%eth0]:65535"])
def test_host_names_and_ipv6_addresses_are_usable(address: str) -> None:
    # Guards against a check of addresses that leaves out executors.
    entry = {**USABLE_ENTRY, "address": address}
    assert decode_registration("servers/i-1", as_bytes(entry)) is not None


@pytest.mark.parametrize("executor_id", ["", "i-\u00e9", "i-1\x00", "i-1\r\nX: 1"])
def test_an_entry_whose_id_no_header_can_carry_is_unusable(executor_id: str) -> None:
    # Guards against an id that ends the process, or that adds a header to the calls.
    body = as_bytes(USABLE_ENTRY)
    assert decode_registration(f"servers/{executor_id}", body) is None


@pytest.mark.parametrize(
    "field",
    [
        {"born": 2**70},
        {"born": -1},
        {"clock-ms": 1e300},
        {"clock-ms": -1},
        {"capacity": {"cpu": 1e300}},
        {"capacity": {"cpu": 16000, "mem-mb": -1}},
        {"capacity": {"cpu": 16000, "gpus": 2**64}},
    ],
)
def test_an_entry_with_a_number_out_of_range_is_unusable(
    field: dict[str, object],
) -> None:
    # Guards against an executor whose clock or capacity no calculation can use.
    entry = {**USABLE_ENTRY, **field}
    assert decode_registration("servers/i-1", as_bytes(entry)) is None


@pytest.mark.parametrize(
    ("field", "value"),
    [
        (b"born", b"1e999"),
        (b"born", b"9" * 5_000),
        (b"clock-ms", b"9" * 5_000),
        (b"labels", b"[" * 100_000 + b"]" * 100_000),
        (b"other", b'{"a":' * 100_000 + b"1" + b"}" * 100_000),
    ],
)
def test_an_entry_that_cannot_be_parsed_is_unusable(field: bytes, value: bytes) -> None:
    # Guards against a very long number or a deeply nested value that raises.
    body = as_bytes(USABLE_ENTRY)[:-1] + b', "' + field + b'": ' + value + b"}"
    assert decode_registration("servers/i-1", body) is None


def test_answers_of_the_store_are_distinguished() -> None:
    # Guards against a write that is reported as failed although it may take effect.
    codec = PlatformStoreCodec()
    txn = kv.Transact("s", 1, (kv.KeyRevision("k", 0),), (kv.KeyValue("k", b"v"),))
    call = codec.encode(txn)
    assert call.is_write and json.loads(call.body)["set-keys"][0]["value"] == "dg=="
    assert codec.decode(txn, 200, b"", b'{"revision":4}') == kv.Written(4)
    mismatch = b'{"items":[{"key":"k","value":"dg==","revision":3}]}'
    assert codec.decode(txn, 412, b"", mismatch) == kv.Mismatch(
        (kv.Item("k", b"v", 3),)
    )
    assert isinstance(codec.decode(txn, 503, b"", b""), kv.NotSent)
    assert isinstance(codec.decode(txn, 500, b"", b""), kv.Unknown)
    assert isinstance(codec.decode(txn, 200, b"", b"junk"), kv.Unknown)
    watch = kv.WatchItems("s", 1, "p/", 4, 1000)
    assert codec.decode(watch, 410, b"", b"") == kv.Compacted()
    gone = b'{"events":[{"key":"p/1","revision":5,"tombstone":true}],"current-rev":5}'
    assert codec.decode(watch, 200, b"", gone) == kv.ItemsChanged(
        (kv.Item("p/1", None, 5),), 5
    )


@pytest.mark.parametrize("status", [400, 403, 413])
def test_a_call_that_the_store_refuses_for_good_is_told_from_a_lost_one(
    status: int,
) -> None:
    # Guards against a write that is repeated without end although no repeat of it can
    # be carried out.
    txn = kv.Transact("s", 1, (), (kv.KeyValue("k", b"v"),))
    outcome = PlatformStoreCodec().decode(txn, status, b"", b"")
    assert isinstance(outcome, kv.PermanentlyRefused) and str(status) in outcome.detail


@pytest.mark.parametrize("body", [b"", b"junk", b"{}", b'{"items":[', b'{"items":3}'])
@pytest.mark.parametrize(
    "req",
    [
        kv.ReadItems("s", 1, "p/"),
        kv.WatchItems("s", 1, "p/", 4, 1_000),
        kv.Transact("s", 1, ()),
        kv.LeaseGrant("s", 1, 10),
    ],
)
def test_a_success_without_a_readable_answer_is_unknown(
    req: kv.PlatformRequest, body: bytes
) -> None:
    # Guards against a list that counts as complete and empty, and against a watch that
    # is repeated without a delay, because the body of their answer cannot be read.
    assert isinstance(PlatformStoreCodec().decode(req, 200, b"", body), kv.Unknown)


def test_answers_that_need_no_list_or_no_body_are_valid() -> None:
    # Guards against a strict decoder that loses answers which the store may give: empty
    # lists may be omitted, and the page defines no body for the renewal of a lease.
    codec = PlatformStoreCodec()
    empty = b'{"current-rev":9}'
    page = codec.decode(kv.ReadItems("s", 1, "p/"), 200, b"", empty)
    assert page == kv.Items((), False, 9)
    watch = kv.WatchItems("s", 1, "p/", 4, 1_000)
    assert codec.decode(watch, 200, b"", empty) == kv.ItemsChanged((), 9)
    renewal = kv.LeaseRenew("s", 1, "3")
    assert codec.decode(renewal, 200, b"", b"") == kv.Leased("3", 0)
    assert isinstance(codec.decode(renewal, 200, b"", b"junk"), kv.Unknown)
    assert codec.decode(kv.LeaseRevoke("s", 1, "3"), 200, b"", b"") == kv.Written(0)


@pytest.mark.parametrize(("count", "has_all_ends"), [(499, True), (500, False)])
def test_a_full_list_of_ends_may_leave_others_out(
    count: int, has_all_ends: bool
) -> None:
    # Guards against runs that count as lost because their ends are not listed yet.
    rows = [
        [number, f"{JOB_ID}.0.0.{number}", 1, "done", ""] for number in range(count)
    ]
    answered = Answered(200, as_bytes({"finished": rows}))
    report = PlatformExecutorCodec().decode(Look(1, 0), answered)
    assert isinstance(report, HostReport)
    assert report.has_all_ends is has_all_ends


@pytest.mark.parametrize("number", ["\u00b2", "9" * 5_000, "-1"])
def test_a_run_whose_name_has_a_malformed_number_is_unreadable(number: str) -> None:
    # Guards against a list of runs that ends the scheduler's process.
    rows = [[f"{JOB_ID}.0.0.{number}", 1, "", 0]]
    answered = Answered(200, as_bytes({"running": rows}))
    outcome = PlatformExecutorCodec().decode(Look(1, 0), answered)
    assert isinstance(outcome, NoAnswer)


@pytest.mark.parametrize(
    "lists",
    [
        {"running": [[f"{JOB_ID}.0.0.1", 1, "", 0, 10**400]]},
        {"running": [[f"{JOB_ID}.0.0.1", 1, "", 10**400]]},
        {"running": [[f"{JOB_ID}.0.0.1", 2**60, "", 0]]},
        {"finished": [[2**60, f"{JOB_ID}.0.0.1", 1, "done", ""]]},
        {"finished": [[1, f"{JOB_ID}.0.0.1", -1, "done", ""]]},
    ],
)
def test_a_list_of_runs_with_a_number_out_of_range_is_unreadable(lists) -> None:
    # Guards against a process that ends at the conversion of a load to a float, and
    # against an end whose number hides all later ends.
    answered = Answered(200, as_bytes({"clock-ms": 9, "born": 1, **lists}))
    outcome = PlatformExecutorCodec().decode(Look(1, 0), answered)
    assert isinstance(outcome, NoAnswer)


row_fields = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(allow_nan=False),
    st.text(max_size=9),
    st.sampled_from([f"{JOB_ID}.0.0.1", "done", "stopped", 1, 10**400]),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=1),
)


@given(
    st.lists(st.lists(row_fields, max_size=6), max_size=2),
    st.sampled_from(["running", "finished"]),
    st.integers(0, 4),
    row_fields,
)
def test_no_row_of_an_executor_raises(rows, name, changed, value) -> None:
    # Guards against a single row of a list that ends each process that schedules, such
    # as one whose kind of end is a list.
    right = {
        "running": [f"{JOB_ID}.0.0.1", 1, "", 0, 3],
        "finished": [1, f"{JOB_ID}.0.0.1", 1, "done", ""],
    }[name]
    right[changed] = value
    answered = Answered(200, as_bytes({"clock-ms": 9, name: [*rows, right]}))
    PlatformExecutorCodec().decode(Look(1, 0), answered)
    answered = Answered(200, as_bytes({"clock-ms": 9, name: [right]}))
    PlatformExecutorCodec().decode(Look(1, 0), answered)


def test_machine_pages_and_refusals_of_orders_are_decoded() -> None:
    # Guards against a fenced holder that goes on sending orders.
    codec = PlatformMachineCodec("10.0.0.1:80")
    page = {
        "machines": [
            {"machine": "m", "pool": "p", "state": "upkeep", "zone": "z", "id": None}
        ],
        "next-token": "t",
    }
    decoded = codec.decode(ListMachines(), Answered(200, as_bytes(page)))
    assert isinstance(decoded, MachinePage) and decoded.next_page == "t"
    assert decoded.machines[0].state is MachineState.IN_MAINTENANCE
    move = MoveMachine("m", "p", "node", 12)
    call = codec.encode("machines", 1, move, Validity(500, 9_500))
    assert call.timeout_ms == 500 and call.not_after_ms == 9_500
    headers = dict(call.headers)
    assert headers["X-Fencing-Token"] == "12" and headers["X-Duty-Holder"] == "node"
    fenced = codec.decode(move, Answered(409, b'{"reason":"fence"}'))
    assert fenced == OrderRefused(OrderRefusal.FENCED)


def test_peer_messages_survive_encoding_and_decoding() -> None:
    # Guards against a field that is lost on the way between two entry hosts.
    queue = decode_manifest(as_bytes(MANIFEST)).queues[0]
    submit = decode_call(queue, "POST", f"/puxa400/{JOB_ID}", as_bytes(JOB), 99)
    access = Access("acme", "q", True)
    calls = [
        submit,
        QueryJob(JOB_ID, access),
        CancelJob(JOB_ID, access),
        CountWaiting("q"),
    ]
    assert [decode_peer_call(encode_peer_call(call)) for call in calls] == calls
    answers = [Accepted(), NoSuchJob(), WaitingIs(3), StateIs(JobState.FAILED)]
    answers.append(Rejected("full", 7))
    decoded = [decode_peer_answer(encode_peer_answer(answer)) for answer in answers]
    assert decoded == answers
    assert decode_job(encode_job(submit.job)) == submit.job


FIELD_NAMES = (
    "version",
    "routes",
    "services",
    "name",
    "host",
    "prefix",
    "items",
    "events",
    "running",
    "finished",
    "steps",
    "count",
    "cpu",
    "spec",
    "state",
    "capacity",
    "labels",
    "machines",
    "phase",
    "good",
    "job",
    "kind",
    "clock-ms",
    "born",
)

untrusted_bodies = st.one_of(
    st.binary(max_size=200),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(
                st.sampled_from(FIELD_NAMES) | st.text(max_size=5),
                inner,
                max_size=5,
            )
        ),
        max_leaves=15,
    ).map(as_bytes),
)


@given(
    untrusted_bodies,
    st.sampled_from([200, 400, 404, 409, 410, 412, 421, 429, 500, 503]),
)
def test_no_untrusted_bytes_raise(body: bytes, status: int) -> None:
    # Guards against an entry host that is stopped by a single malformed message.
    answered = Answered(status, body)
    executors = PlatformExecutorCodec()
    executors.decode(Look(1, 0), answered)
    executors.decode(Start(Subtask(JOB_ID, 0, 0, 0), 1, "", "", 0, 7), answered)
    PlatformAdviceCodec().decode(answered)
    machines = PlatformMachineCodec("h:1")
    machines.decode(ListMachines(), answered)
    machines.decode(MoveMachine("m", "p", "n", 1), answered)
    decode_manifest(body)
    decode_registration("servers/x", body)
    decode_wave(body)
    decode_job(body)
    decode_progress(body)
    decode_peer_call(body)
    decode_peer_answer(body)
    queue = decode_manifest(as_bytes(MANIFEST)).queues[0]
    decode_call(queue, "POST", f"/puxa400/{JOB_ID}", body, 0)
    codec = PlatformStoreCodec()
    for req in (
        kv.Get("s", 1, "k"),
        kv.ReadItems("s", 1, "p"),
        kv.WatchItems("s", 1, "p", 3, 10),
        kv.Transact("s", 1, ()),
        kv.Put("s", 1, "k", b"", 0),
        kv.LeaseGrant("s", 1, 10),
        kv.LeaseRenew("s", 1, "3"),
    ):
        codec.decode(req, status, b"", body)
