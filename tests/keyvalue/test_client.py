from __future__ import annotations

import base64
import contextlib
import json
import queue
import socket
import threading
import time
from typing import TYPE_CHECKING
from typing import Any

import pytest

from guavapin.http.transfer import LONG_ANSWER_BYTES
from guavapin.http.transfer import MAX_ANSWER_BYTES
from guavapin.http.transfer import MIN_LINK_BYTES_PER_S
from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import SystemClock
from guavapin.keyvalue.client import PlatformConfig
from guavapin.keyvalue.client import PlatformTask
from guavapin.keyvalue.long_answers import Abandon
from guavapin.keyvalue.long_answers import LongAnswer
from guavapin.keyvalue.messages import Changed
from guavapin.keyvalue.messages import ChangesTooLong
from guavapin.keyvalue.messages import Conflict
from guavapin.keyvalue.messages import Delete
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import Hosts
from guavapin.keyvalue.messages import HostState
from guavapin.keyvalue.messages import Items
from guavapin.keyvalue.messages import ItemsChanged
from guavapin.keyvalue.messages import KeyRevision
from guavapin.keyvalue.messages import Leased
from guavapin.keyvalue.messages import LeaseGrant
from guavapin.keyvalue.messages import LeaseRenew
from guavapin.keyvalue.messages import LeaseRevoke
from guavapin.keyvalue.messages import Listed
from guavapin.keyvalue.messages import ListHosts
from guavapin.keyvalue.messages import ListPrefix
from guavapin.keyvalue.messages import Missing
from guavapin.keyvalue.messages import NotSent
from guavapin.keyvalue.messages import Put
from guavapin.keyvalue.messages import RateLimited
from guavapin.keyvalue.messages import ReadItems
from guavapin.keyvalue.messages import Reply
from guavapin.keyvalue.messages import Unknown
from guavapin.keyvalue.messages import Watch
from guavapin.keyvalue.messages import WatchItems
from guavapin.keyvalue.messages import Written
from guavapin.platform.store import PlatformStoreCodec
from guavapin_standins.platform import RunningPlatform
from guavapin_standins.platform_controls import Faults
from guavapin_standins.platform_controls import Limits

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin.keyvalue.codec import StoreCodec


class Client:
    def __init__(
        self, url: str, codec: StoreCodec | None = None, **settings: Any
    ) -> None:
        settings = {"deadline_ms": 400, "writes_per_second": 1e6} | settings
        self.task = PlatformTask(
            PlatformConfig(url, **{"reads_per_second": 1e6} | settings), codec
        )
        self.kernel = Kernel(SystemClock())
        self.kernel.register(self.task)
        self.kernel.start()

    def begin(self, req: object) -> Any:
        return self.kernel.ask("platform", req)

    def call(self, req: object) -> Any:
        return self.begin(req).result(5)

    def put(self, key: str, value: bytes, expected: int = 0, lease: str = "") -> Any:
        return self.call(Put("", 0, key, value, expected, lease))

    def get(self, key: str) -> Any:
        return self.call(Get("", 0, key))


@pytest.fixture
def platform() -> Iterator[RunningPlatform]:
    with RunningPlatform(limits=Limits(1e6, 1e6), hosts_lag_ms=50) as running:
        yield running


@pytest.fixture
def client(platform: RunningPlatform) -> Iterator[Client]:
    client = Client(platform.url, zone="matane")
    yield client
    client.kernel.stop()


def test_compare_and_swap_reports_the_current_revision(client: Client) -> None:
    # Guards against a write that replaces a value which its sender has not read.
    first = client.put("a/b c?", b"\x00one")
    assert isinstance(first, Written)
    assert client.put("a/b c?", b"two") == Conflict(first.revision)
    second = client.put("a/b c?", b"two", first.revision)
    assert client.get("a/b c?") == Found(b"two", second.revision)
    assert client.call(Delete("", 0, "a/b c?", first.revision)) == Conflict(
        second.revision
    )
    assert isinstance(client.call(Delete("", 0, "a/b c?", second.revision)), Written)
    assert client.get("a/b c?") == Missing()


def test_lists_only_the_prefix_and_values_up_to_a_megabyte(client: Client) -> None:
    # Guards against truncated values and against keys of another prefix.
    value = bytes(1_000_000)
    written = client.put("p/1", value)
    client.put("q/1", b"")
    listed = client.call(ListPrefix("", 0, "p/"))
    assert listed == Listed((KeyRevision("p/1", written.revision),), 2)
    assert client.get("p/1").value == value
    assert client.put("p/2", value + b"x") == Unknown(
        "unexpected answer with status 413"
    )


def test_lapsed_lease_removes_its_keys_and_wakes_the_watch(client: Client) -> None:
    # Guards against keys that outlive their holder, and watches that miss removals.
    lease = client.call(LeaseGrant("", 0, 150))
    assert isinstance(lease, Leased)
    written = client.put("duty/planner", b"me", 0, lease.lease_id)
    assert client.call(LeaseRenew("", 0, lease.lease_id)) == lease
    changed = client.call(Watch("", 0, "duty/", written.revision, 2_000))
    assert changed == Changed(
        (KeyRevision("duty/planner", 3, deleted=True),), written.revision + 1
    )
    assert client.call(LeaseRenew("", 0, lease.lease_id)) == Missing()
    assert client.put("duty/planner", b"me", 0, lease.lease_id) == Missing()


def test_watch_waits_for_a_change_or_its_wait_time(client: Client) -> None:
    # Guards against a watch that spins or that blocks other calls.
    assert client.call(Watch("", 0, "w/", 0, 50)) == Changed((), 0)
    pending = client.begin(Watch("", 0, "w/", 0, 3_000))
    client.put("x/1", b"")
    written = client.put("w/1", b"")
    assert pending.result(5).keys == (KeyRevision("w/1", written.revision),)


def test_revoke_and_lagging_hosts(client: Client, platform: RunningPlatform) -> None:
    # Guards against treating the lagging host list as the current state.
    lease = client.call(LeaseGrant("", 0, 60_000))
    assert isinstance(client.call(LeaseRevoke("", 0, lease.lease_id)), Written)
    platform.set_host("h1", "leaving")
    assert client.call(ListHosts("", 0)) == Hosts(())
    time.sleep(0.1)
    assert client.call(ListHosts("", 0)) == Hosts((HostState("h1", "leaving"),))


def test_lost_answer_is_unknown_and_refused_connection_not_sent(
    client: Client, platform: RunningPlatform
) -> None:
    # Guards against treating an effective write as one that had no effect.
    client.put("warm", b"")
    platform.set_faults(Faults(lost_answers=1))
    assert isinstance(client.put("k", b"v"), Unknown)
    assert client.get("k") == Found(b"v", 2)
    platform.set_faults(Faults(lost_requests=1))
    assert isinstance(client.put("l", b"v"), Unknown)
    assert client.get("l") == Missing()
    platform.set_faults(Faults(outage="closed"))
    # A reused connection may have broken without notice, which is `Unknown`; a client
    # without connections knows that nothing was sent.
    assert isinstance(client.put("m", b"v"), NotSent | Unknown)
    other = Client(platform.url)
    assert isinstance(other.put("m", b"v"), NotSent)
    other.kernel.stop()
    platform.set_faults(Faults(outage="silent"))
    assert isinstance(client.put("n", b"v"), Unknown)
    platform.set_faults(Faults())
    assert client.get("n") == Missing()


def test_slow_platform_and_cut_off_zone(
    client: Client, platform: RunningPlatform
) -> None:
    # Guards against calls without a deadline and cuts that affect other zones.
    platform.set_faults(Faults(delay_ms=600))
    assert isinstance(client.put("k", b"v"), Unknown)
    platform.set_faults(Faults(cut_off_zones=("matane",)))
    assert isinstance(client.get("k"), Unknown)
    other = Client(platform.url, zone="gaspe")
    assert isinstance(other.get("k"), Found)
    other.kernel.stop()
    assert platform.task.counters.by_zone["gaspe"] == 1


def test_a_call_with_a_long_body_has_time_for_a_slow_link(
    client: Client, platform: RunningPlatform
) -> None:
    # Guards against a write of a large value that a slow link cannot carry within the
    # time for a short call, and that its writer repeats without end. The delay stands
    # for the time that the link takes; the body adds a second to the 400 ms.
    platform.set_faults(Faults(delay_ms=700))
    assert isinstance(client.put("short", b"v"), Unknown)
    assert isinstance(client.put("long", bytes(MIN_LINK_BYTES_PER_S)), Written)


def test_rate_limit_is_reported_and_own_rate_bounds_the_calls() -> None:
    # Guards against one process using up the platform's rate limit.
    with RunningPlatform(limits=Limits(1, 1)) as platform:
        client = Client(platform.url)
        assert isinstance(client.put("a", b""), Written)
        assert client.put("b", b"") == RateLimited()
        client.kernel.stop()
    with RunningPlatform(limits=Limits(1e6, 1e6)) as platform:
        client = Client(platform.url, reads_per_second=50, deadline_ms=300)
        futures = [client.begin(Get("", 0, "a")) for _ in range(60)]
        outcomes = [fut.result(5) for fut in futures]
        client.kernel.stop()
        assert platform.task.counters.by_kind["get"] <= 5 + 50 * 0.4
        assert outcomes.count(Missing()) >= 10
        assert outcomes[-1] == NotSent("deadline passed in the queue")


def test_calls_in_flight_and_waiting_are_bounded(platform: RunningPlatform) -> None:
    # Guards against memory growth while the platform does not answer. The calls are
    # counted before any deadline passes, because a waiting call that arrived some
    # milliseconds after those in flight has time left when they end, and is sent then.
    platform.set_faults(Faults(outage="silent"))
    client = Client(platform.url, max_in_flight=4, max_queued=8, deadline_ms=3_000)
    futures = [client.begin(Get("", 0, "a")) for _ in range(20)]
    rejected = [fut.result(2) for fut in futures[12:]]
    for _ in range(200):
        if platform.task.counters.by_kind["get"] < 4:
            time.sleep(0.01)
    assert rejected == [NotSent("too many calls wait")] * 8
    assert platform.task.counters.by_kind["get"] == 4
    assert not any(fut.done() for fut in futures[:12])
    client.kernel.stop()
    assert all(fut.done() for fut in futures)


def test_cancelled_call_does_not_end_the_client(
    client: Client, platform: RunningPlatform
) -> None:
    # Guards against a cancelled request of an operator that ends the loop.
    platform.set_faults(Faults(delay_ms=50))
    assert client.begin(Get("", 0, "a")).cancel()
    assert client.get("a") == Missing()


def test_a_write_is_transmitted_once_on_a_reused_connection_that_dies() -> None:
    # Guards against libcurl's automatic retry on a broken connection: the second
    # transmission of a write would report a conflict with the first.
    received: list[bytes] = []
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=answer_once, args=(sock,), daemon=True).start()

    def answer_once(sock: socket.socket) -> None:
        """Answer the first request; read the second one and close."""
        with sock:
            received.append(sock.recv(65536))
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nX-Revision: 1\r\nContent-Length: 0\r\n\r\n"
            )
            received.append(sock.recv(65536))

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    client = Client(f"http://127.0.0.1:{listener.getsockname()[1]}")
    assert isinstance(client.put("a", b"1"), Written)
    assert isinstance(client.put("b", b"2"), Unknown)
    assert sum(b"/v1/kv/b" in data for data in received) == 1
    assert isinstance(client.get("c"), Found)
    assert isinstance(client.get("d"), Found)
    assert sum(b"/v1/kv/d" in data for data in received) == 2
    client.kernel.stop()
    listener.close()


@pytest.mark.parametrize("extra_bytes", [0, 1])
def test_a_watch_with_too_long_an_answer_is_reported_as_such(extra_bytes: int) -> None:
    # Guards against a watch that is repeated from the same revision until the store's
    # history is gone, because its answer is longer than the client receives.
    head = b'{"current-rev":9}'
    body = head + b" " * (MAX_ANSWER_BYTES + extra_bytes - len(head))
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        for _ in range(2):
            sock, _ = listener.accept()
            with sock:
                sock.recv(65536)
                length = b"%d" % len(body)
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: " + length
                with contextlib.suppress(OSError):
                    sock.sendall(answer + b"\r\nConnection: close\r\n\r\n" + body)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    client = Client(url, codec=PlatformStoreCodec(), deadline_ms=3_000)
    try:
        watched = client.call(WatchItems("", 0, "p/", 4, 100))
        got = client.call(Get("", 0, "p/1"))
    finally:
        client.kernel.stop()
        listener.close()
    if extra_bytes:
        assert watched == ChangesTooLong()
        assert isinstance(got, Unknown)
    else:
        assert watched == ItemsChanged((), 9)


@pytest.mark.parametrize(("body", "outcome"), [(b"{", ChangesTooLong), (b"", Unknown)])
def test_a_watch_whose_answer_takes_too_long_is_reported_as_such(
    body: bytes, outcome: type
) -> None:
    # Guards against a watch that is repeated from the same revision although a slow
    # link cannot carry its answer in time. Without a byte of an answer, nothing shows
    # that there are changes.
    listener = socket.create_server(("127.0.0.1", 0))
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    client = Client(url, codec=PlatformStoreCodec(), deadline_ms=200)
    try:
        watching = client.begin(WatchItems("", 0, "p/", 4, 100))
        sock, _ = listener.accept()
        with sock:
            sock.recv(65536)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + body)
            assert isinstance(watching.result(5), outcome)
    finally:
        client.kernel.stop()
        listener.close()


@pytest.mark.parametrize(
    "req", [ReadItems("", 0, "p/", ""), WatchItems("", 0, "p/", 2, 0)]
)
def test_items_that_make_progress_are_not_given_up(req: Any) -> None:
    # Guards against a large value that a slow link cannot carry within the time of one
    # call, and whose reader begins anew without end: a host that restarts has no table
    # and rejects every call, and one that runs keeps an old table.
    item = {"key": "p/1", "value": base64.b64encode(b"v" * 30_000).decode()}
    items = [{**item, "revision": 3, "created": 3}]
    answer = {"items": items, "events": items, "current-rev": 9}
    body = json.dumps(answer).encode()
    listener = socket.create_server(("127.0.0.1", 0))
    pause = threading.Event()

    def serve() -> None:
        sock, _ = listener.accept()
        with sock, contextlib.suppress(OSError):
            sock.recv(65536)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            sock.sendall(head.encode())
            for first in range(0, len(body), 5_000):
                sock.sendall(body[first : first + 5_000])
                pause.wait(0.1)

    threading.Thread(target=serve, daemon=True).start()
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    limits = {"list_deadline_ms": 300, "deadline_ms": 300}
    client = Client(url, codec=PlatformStoreCodec(), **limits)
    try:
        listed = client.call(req)
    finally:
        client.kernel.stop()
        listener.close()
    assert isinstance(listed, Items | ItemsChanged)
    assert listed.items[0].value == b"v" * 30_000


def test_a_long_answer_is_announced_and_can_be_abandoned() -> None:
    # Guards against a large table that fills a slow link although its reader has it
    # from another process.
    received: queue.Queue[object] = queue.Queue()

    class Reader:
        name = "reader"

        def start(self, context: TaskContext) -> Outcome[None]:
            self.context = context
            context.send("platform", WatchItems("reader", 5, "p/", 4, 1_000))
            return Ok(None)

        def handle(self, message: object) -> None:
            received.put(message)
            if isinstance(message, LongAnswer):
                self.context.send("platform", Abandon("reader", 5))

        def stop(self) -> None:
            pass

    listener = socket.create_server(("127.0.0.1", 0))
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    kernel = Kernel(SystemClock())
    kernel.register(PlatformTask(PlatformConfig(url), PlatformStoreCodec()))
    kernel.register(Reader())
    kernel.start()
    try:
        sock, _ = listener.accept()
        with sock:
            sock.settimeout(5)
            sock.recv(65536)
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n"
            sock.sendall(head + b" " * 2 * LONG_ANSWER_BYTES)
            assert received.get(timeout=5) == LongAnswer(5)
            assert received.get(timeout=5) == Reply(
                5, Unknown("the call was abandoned")
            )
            with contextlib.suppress(ConnectionResetError):
                assert sock.recv(1) == b""
    finally:
        kernel.stop()
        listener.close()


def test_a_list_that_stalls_is_given_up() -> None:
    # Guards against a dead connection that holds up the list of a successor.
    listener = socket.create_server(("127.0.0.1", 0))
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    client = Client(url, codec=PlatformStoreCodec(), list_deadline_ms=300)
    try:
        listing = client.begin(ReadItems("", 0, "p/", ""))
        sock, _ = listener.accept()
        with sock:
            sock.recv(65536)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n{")
            assert isinstance(listing.result(10), Unknown)
    finally:
        client.kernel.stop()
        listener.close()


def test_a_call_that_libcurl_does_not_take_is_not_sent() -> None:
    # Guards against a part of a call from outside that ends the process, as the address
    # of a registration did.
    client = Client("http://127.0.0.1\x00:9")
    try:
        assert isinstance(client.get("a"), NotSent)
        assert client.kernel.wait_for_failure(0) is None
    finally:
        client.kernel.stop()
