"""A removed key is refused in time by a host, whatever happens to its store.

The real follower, tables, intake and peer desk of two hosts run on one simulated clock
against a store that holds one configuration.
"""

from __future__ import annotations

import heapq
import json
from types import SimpleNamespace

import pytest

from guavapin.http.messages import Answered
from guavapin.http.messages import PeerCall
from guavapin.http.messages import PeerReply
from guavapin.http.messages import Unanswered
from guavapin.intake.peer_calls import PeerCallsTask
from guavapin.intake.task import IntakeTask
from guavapin.jobs.table_messages import RefreshTable
from guavapin.jobs.table_messages import TableDescribed
from guavapin.jobs.table_messages import ViewExpired
from guavapin.jobs.table_relay import CHANGES_PATH
from guavapin.jobs.table_relay import TABLE_PATH
from guavapin.jobs.table_relay import encode_described
from guavapin.jobs.table_view import watch_wait_ms
from guavapin.jobs.tables import TablesTask
from guavapin.kernel.clock import ManualClock
from guavapin.kernel.harness import TaskHarness
from guavapin.kernel.task import TimerHandle
from guavapin.keyvalue import messages as kv
from guavapin.keyvalue.follower import ContinueFrom
from guavapin.keyvalue.follower import PrefixArriving
from guavapin.keyvalue.follower import PrefixConfirmed
from guavapin.keyvalue.follower import PrefixFollower
from guavapin.keyvalue.follower import PrefixListed
from guavapin.keyvalue.follower import PrefixLost
from guavapin.keyvalue.long_answers import Abandon
from guavapin.platform.wire_codecs import PlatformJobCallCodec
from guavapin.platform.wire_codecs import PlatformTableCodec
from guavapin.scheduling.messages import JobRequest
from guavapin.scheduling.messages import KnownScheduler
from guavapin.serving.messages import AnswerHead
from guavapin.serving.request_handler import WholeRequest

KEY = PlatformTableCodec.key
REVOKE_MS = 5_000
SERVED = 0  # The call went to the scheduler, which serves it.


def configuration(version: int, *keys: str) -> bytes:
    route = {"name": "r", "host": "h", "prefix": "/q/", "service": "pool"}
    tenants = [{"name": "acme", "api-keys": keys, "weight": 1}]
    return json.dumps(
        {"version": version, "routes": [route], "tenants": tenants}
    ).encode()


class Context:
    """`TaskContext` of one task of a host."""

    def __init__(self, host: Host, name: str) -> None:
        self._host, self._name, self.clock = host, name, host.play.clock

    def now_ms(self) -> int:
        return self.clock.now_ms()

    def send(self, service: str, message: object) -> None:
        self._host.play.schedule(0, self._host.deliver, service, message)

    def set_timer(self, delay_ms: int, message: object) -> TimerHandle:
        self._host.play.schedule(delay_ms, self._host.deliver, self._name, message)
        return TimerHandle(0)


class Host:
    """Tasks of one entry host that concern keys; `mode` is that of its store.

    Modes: "well", "away" (no answers), "one way" (calls arrive, answers are lost),
    "refused" (nothing is done), "slow" (each answer takes `delay_ms`).
    """

    def __init__(self, play: Play, name: str) -> None:
        self.play, self.name, self.mode, self.delay_ms = play, name, "well", 4
        self.suspended_until_ms = 0
        self.answers: dict[int, int] = {}
        self.is_expired = False
        holder = f"{name}@{name}:1#1"
        self.known = KnownScheduler(f"{name}:1", holder, 1)
        observer = SimpleNamespace(observe_call=lambda *_: None)
        wait_ms = watch_wait_ms(REVOKE_MS, 2_000)
        tasks = (
            PrefixFollower(
                "follow",
                KEY,
                ("tables",),
                wait_ms,
                is_eager=True,
                is_confirming=True,
                is_prompt=True,
            ),
            TablesTask(PlatformTableCodec(), ("intake",), REVOKE_MS, holder),
            IntakeTask(PlatformJobCallCodec(), holder, observer, True, REVOKE_MS),
            PeerCallsTask(),
        )
        self.tasks = {task.name: task for task in tasks}
        for task in tasks:
            task.start(Context(self, task.name))

    def deliver(self, service: str, message: object) -> None:
        now_ms = self.play.clock.now_ms()
        if now_ms < self.suspended_until_ms:
            delay_ms = self.suspended_until_ms - now_ms
            self.play.schedule(delay_ms, self.deliver, service, message)
        elif service in self.tasks:
            self.tasks[service].handle(message)
        elif service == "platform":
            self.play.call_store(self, message)
        elif service == "http" and isinstance(message, PeerCall):
            self.play.call_peer(self, message)
        elif isinstance(message, JobRequest):
            self.answers[message.request_id] = SERVED
        elif isinstance(message, ViewExpired):
            self.is_expired = message.is_expired
        elif isinstance(message, AnswerHead):
            self.answers[message.request_id] = message.status

    def call(self, key: str) -> int:
        """Send a call with a key; return its number."""
        number = self.play.next_number()
        headers = ((b"host", b"h"), (b"authorization", f"Token {key}".encode()))
        req = WholeRequest(number, "GET", "/q/" + "a" * 16, headers, b"", 0)
        self.tasks["intake"].handle_request(req)
        return number


class Play:
    """Two hosts, of which the first schedules, and a store with one configuration."""

    def __init__(self) -> None:
        self.clock = ManualClock(100_000)
        self.value, self.revision = configuration(1, "k1", "k2"), 10
        self.reads = 0
        self._events: list = []
        self._number = 0
        self._peer_answers: dict[int, tuple[int, bytes]] = {}
        self.hosts = [Host(self, name) for name in ("n1", "n2")]
        for host in self.hosts:
            host.deliver("tables", self.hosts[0].known)
            # Authenticated calls stay on their host, so that they are seen there.
            host.deliver("intake", host.known)
        self.run(1_000)

    def next_number(self) -> int:
        self._number += 1
        return self._number

    def schedule(self, delay_ms: int, function, *args) -> None:
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._events, (due_ms, self.next_number(), function, args))

    def run(self, duration_ms: int) -> None:
        end_ms = self.clock.now_ms() + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, function, args = heapq.heappop(self._events)
            self.clock.advance(due_ms - self.clock.now_ms())
            function(*args)
        self.clock.advance(end_ms - self.clock.now_ms())

    def put(self, value: bytes) -> None:
        self.value, self.revision = value, self.revision + 1

    def call_store(self, host: Host, req: object) -> None:
        self.reads += req.reply_to == "tables"
        self.schedule(host.delay_ms // 2, self._read_store, host, req, 0)

    def _read_store(self, host: Host, req, waited_ms: int) -> None:
        item = kv.Item(KEY, self.value, self.revision)
        if host.mode == "refused":
            outcome = kv.NotSent("the store did nothing (503)")
        elif host.mode in ("away", "one way"):
            self.schedule(900, self._reply, host, req, kv.Unknown("no answer"))
            return
        elif isinstance(req, kv.ReadItems):
            outcome = kv.Items((item,), False, self.revision)
        elif req.after_revision < self.revision:
            outcome = kv.ItemsChanged((item,), self.revision)
        elif waited_ms < req.wait_ms:
            self.schedule(10, self._read_store, host, req, waited_ms + 10)
            return
        else:
            outcome = kv.ItemsChanged((), self.revision)
        self.schedule(host.delay_ms // 2, self._reply, host, req, outcome)

    def _reply(self, host: Host, req, outcome) -> None:
        host.deliver(req.reply_to, kv.Reply(req.request_id, outcome))

    def call_peer(self, host: Host, call: PeerCall) -> None:
        target = self.hosts[0]
        if host.mode == "away":
            self.schedule(500, self._reply_peer, host, call, Unanswered(True, "silent"))
            return
        number = self.next_number()
        req = WholeRequest(number, call.method, call.path, (), call.body, 0)
        target.tasks["peer_desk"].handle_request(req)
        self.schedule(5, self._collect, host, call, target, number)

    def _collect(self, host: Host, call: PeerCall, target: Host, number: int) -> None:
        body = self.bodies(target).get(number)
        if body is not None:
            self._reply_peer(host, call, Answered(200, body))

    def bodies(self, target: Host) -> dict[int, bytes]:
        return target.__dict__.setdefault("bodies", {})

    def _reply_peer(self, host: Host, call: PeerCall, outcome) -> None:
        host.deliver(call.reply_to, PeerReply(call.request_id, outcome))


@pytest.fixture
def play(monkeypatch: pytest.MonkeyPatch) -> Play:
    play = Play()
    deliver = Host.deliver

    def collect_bodies(self: Host, service: str, message) -> None:
        if service == "peer_front" and hasattr(message, "data"):
            play.bodies(self)[message.request_id] = message.data
        deliver(self, service, message)

    monkeypatch.setattr(Host, "deliver", collect_bodies)
    return play


def answer(play: Play, host: Host, key: str) -> int | None:
    number = host.call(key)
    play.run(1_600)
    return host.answers.get(number)


def status_now(play: Play, host: Host, key: str) -> int | None:
    number = host.call(key)
    play.run(0)
    return host.answers.get(number)


def test_a_calm_host_serves_keys_at_any_time(play: Play) -> None:
    # Guards against a view that expires between two answers of the store.
    host = play.hosts[1]
    for _ in range(200):
        play.run(97)
        assert status_now(play, host, "k1") == SERVED
    assert not host.is_expired


@pytest.mark.parametrize("mode", ["away", "one way", "refused"])
def test_a_removed_key_is_refused_in_time_without_the_store(play: Play, mode) -> None:
    # Guards against calls with a removed key that a host serves for as long as it does
    # not learn of the removal.
    host, scheduler = play.hosts[1], play.hosts[0]
    host.mode = scheduler.mode = mode
    play.put(configuration(2, "k2"))
    served = []
    for elapsed_ms in range(0, 12_000, 100):
        if status_now(play, host, "k1") == SERVED:
            served.append(elapsed_ms)
        play.run(100)
    assert served and max(served) < REVOKE_MS
    assert host.is_expired
    assert status_now(play, host, "k2") == 503


@pytest.mark.parametrize("delay_ms", [200, 400, 900, 2_500])
def test_a_removed_key_is_refused_in_time_by_a_slow_store(play: Play, delay_ms) -> None:
    # Guards against an answer that proves less than the time at which it arrives.
    host = play.hosts[1]
    for each in play.hosts:
        each.delay_ms = delay_ms
    play.run(10_000)
    play.put(configuration(2, "k2"))
    for elapsed_ms in range(0, 12_000, 100):
        if status_now(play, host, "k1") == SERVED:
            assert elapsed_ms < REVOKE_MS
        play.run(100)


@pytest.mark.parametrize("offset_ms", range(0, 1_600, 200))
def test_a_suspended_host_does_not_rely_on_its_view(play: Play, offset_ms) -> None:
    # Guards against a process that wakes up and serves a key removed in the meantime.
    host = play.hosts[1]
    play.run(offset_ms)
    host.suspended_until_ms = play.clock.now_ms() + 7_000
    play.put(configuration(2, "k2"))
    play.run(6_999)
    # The first event after the suspension is a call.
    host.suspended_until_ms = 0
    assert status_now(play, host, "k1") != SERVED
    play.run(2_000)
    assert answer(play, host, "k1") == 401
    assert status_now(play, host, "k2") == SERVED


def test_a_host_that_the_store_turns_away_relies_on_the_scheduler(play: Play) -> None:
    # Guards against callers that are refused although the scheduler knows the table.
    host = play.hosts[1]
    host.mode = "refused"
    play.run(20_000)
    assert status_now(play, host, "k1") == SERVED
    play.put(configuration(2, "k2"))
    play.run(REVOKE_MS)
    assert status_now(play, host, "k1") != SERVED
    assert status_now(play, host, "k2") == SERVED


def test_an_added_key_works_at_once(play: Play) -> None:
    # Guards against a 401 between the acknowledgement and the answer of the watch.
    host = play.hosts[1]
    play.run(1_100)
    play.put(configuration(2, "k1", "k3"))
    assert answer(play, host, "k3") == SERVED


def test_made_up_keys_cost_two_reads_a_second(play: Play) -> None:
    # Guards against callers that make an entry host flood the store.
    host = play.hosts[1]
    play.reads = 0
    for number in range(1_000):
        host.call(f"made-up-{number}")
        play.run(10)
    assert play.reads <= 2 * 10 + 1
    play.run(2_000)
    assert set(host.answers.values()) == {401}


def test_unknown_keys_are_not_refused_for_good_without_the_store(play: Play) -> None:
    # Guards against a 401 for a key that was added while the store was away.
    host, scheduler = play.hosts[1], play.hosts[0]
    host.mode = scheduler.mode = "away"
    play.run(600)
    assert answer(play, host, "k3") == 503


def test_an_unusable_table_leaves_the_last_one_in_force(play: Play, caplog) -> None:
    # Guards against an operator's mistake that locks all callers out.
    bad = configuration(2, "k1", "k1")
    play.put(bad)
    play.run(3_000)
    assert status_now(play, play.hosts[1], "k1") == SERVED
    (row, *_) = [row for row in caplog.records if row.levelname == "ERROR"]
    assert "key 2 of organisation 'acme'" in row.detail
    assert "k1" not in row.detail


def test_a_host_without_a_table_asks_for_it_once_at_a_time() -> None:
    # Guards against a link that carries the same large table several times, so that no
    # answer arrives in time and the host rejects every call.
    task = TablesTask(PlatformTableCodec(), ("intake",), REVOKE_MS, "n2@n2:1#1")
    harness = TaskHarness(task)
    harness.start()
    task.handle(KnownScheduler("n1:1", "n1@n1:1#1", 1))
    harness.advance(4_000)
    calls = [row.message for row in harness.sent if row.service == "http"]
    assert len(calls) == 1
    unanswered = Unanswered(True, "the answer took too long")
    task.handle(PeerReply(calls[0].request_id, unanswered))
    harness.advance(600)
    assert len([row for row in harness.sent if row.service == "http"]) == 2


def test_few_queries_for_a_newer_table_share_a_link() -> None:
    # Guards against the same large table several times on the link of a host that has
    # an older one.
    task = TablesTask(PlatformTableCodec(), ("intake",), REVOKE_MS, "n2@n2:1#1")
    harness = TaskHarness(task)
    harness.start()
    task.handle(KnownScheduler("n1:1", "n1@n1:1#1", 1))
    item = kv.Item(KEY, configuration(1, "k1"), 10)
    task.handle(PrefixListed(KEY, (item,)))
    task.handle(PrefixConfirmed(KEY, 0, 10))
    harness.advance(3_000)
    assert not [row for row in harness.sent if row.service == "http"]
    harness.advance(2_000)
    assert len([row for row in harness.sent if row.service == "http"]) == 2


def test_the_lookup_of_a_key_does_not_read_an_unchanged_table(play: Play) -> None:
    # Guards against a link that is full of copies of a large table, none of which
    # arrives in the time of a call, while callers use keys that were removed.
    read: list[kv.PlatformRequest] = []
    call_store = play.call_store

    def record(host: Host, req) -> None:
        read.append(req)
        call_store(host, req)

    play.call_store = record
    assert answer(play, play.hosts[1], "made up") == 401
    looked_up = [req for req in read if req.reply_to == "tables"]
    assert looked_up
    assert all(isinstance(req, kv.WatchItems) for req in looked_up)


def test_the_lookup_of_a_key_leaves_a_changed_table_to_the_follower() -> None:
    # Guards against a second copy of a large table beside the one that the follower
    # reads, which delays both.
    task = TablesTask(PlatformTableCodec(), ("intake",), REVOKE_MS, "n2@n2:1#1")
    harness = TaskHarness(task)
    harness.start()
    task.handle(PrefixListed(KEY, (kv.Item(KEY, configuration(1, "k1"), 10),)))
    task.handle(PrefixConfirmed(KEY, 0, 10))
    task.handle(RefreshTable())
    (read,) = [row.message for row in harness.sent if row.service == "platform"]
    task.handle(kv.Reply(read.request_id, kv.ChangesTooLong()))
    harness.advance(600)
    task.handle(RefreshTable())
    harness.advance(600)
    reads = [row.message for row in harness.sent if row.service == "platform"]
    assert reads == [read]
    task.handle(PrefixConfirmed(KEY, 1_200, 12))
    task.handle(RefreshTable())
    harness.advance(600)
    last = [row.message for row in harness.sent if row.service == "platform"][-1]
    assert last.after_revision == 12


def test_a_table_that_arrives_is_read_once_and_its_changes_come_first(
    play: Play,
) -> None:
    # Guards against copies of a large table that share a slow link, and against a
    # change that comes into force only after the whole table has arrived.
    first, second = play.hosts
    for host in play.hosts:
        host.tasks["follow"].handle = lambda message: None
    item = kv.Item(KEY, configuration(2, "k1", "k3"), 11)
    sent: list[object] = []
    second.tasks["platform"] = SimpleNamespace(handle=sent.append)
    second.tasks["follow_table"] = second.tasks["platform"]
    second.deliver("tables", RefreshTable())
    play.run(0)
    second.deliver("tables", PrefixArriving(KEY))
    second.deliver("tables", RefreshTable())
    play.run(50)
    first.deliver("tables", PrefixListed(KEY, (item,)))
    first.deliver("tables", PrefixConfirmed(KEY, play.clock.now_ms(), 11))
    play.run(250)
    read, abandoned, follow = sent
    assert abandoned == Abandon("tables", read.request_id)
    assert follow == ContinueFrom(11)
    assert status_now(play, second, "k3") == SERVED
    assert status_now(play, second, "k2") != SERVED


def test_a_host_whose_list_arrives_asks_nobody_for_the_table() -> None:
    # Guards against a second copy of a large table on the link of a host that starts.
    task = TablesTask(PlatformTableCodec(), ("intake",), REVOKE_MS, "n2@n2:1#1")
    harness = TaskHarness(task)
    harness.start()
    task.handle(KnownScheduler("n1:1", "n1@n1:1#1", 1))
    task.handle(PrefixArriving(KEY))
    harness.advance(4_000)
    assert not [row for row in harness.sent if row.service == "http"]
    task.handle(PrefixLost(KEY))
    harness.advance(600)
    assert len([row for row in harness.sent if row.service == "http"]) == 1


@pytest.mark.parametrize("status", [200, 400])
def test_a_host_with_a_table_asks_for_the_whole_only_without_changes(status) -> None:
    # Guards against the whole of a large table on the slow link of a host that the
    # store turns away, where it does not arrive in the time of a query.
    task = TablesTask(PlatformTableCodec(), ("intake",), REVOKE_MS, "n2@n2:1#1")
    harness = TaskHarness(task)
    harness.start()
    task.handle(KnownScheduler("n1:1", "n1@n1:1#1", 1))
    task.handle(PrefixListed(KEY, (kv.Item(KEY, configuration(1, "k1"), 10),)))
    task.handle(PrefixConfirmed(KEY, 0, 10))
    harness.advance(3_500)
    (query,) = [row.message for row in harness.sent if row.service == "http"]
    assert query.path == f"{CHANGES_PATH}?version=1"
    body = encode_described(TableDescribed(0, 4, 5, None))
    task.handle(PeerReply(query.request_id, Answered(status, body)))
    harness.advance(500)
    last = [row.message for row in harness.sent if row.service == "http"][-1]
    assert last.path == f"{TABLE_PATH}?version=1"
