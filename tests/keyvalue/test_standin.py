from __future__ import annotations

import json
from http.client import HTTPConnection
from typing import TYPE_CHECKING

import pytest

from guavapin.kernel import ManualClock
from guavapin.keyvalue.messages import Conflict
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import KeyRevision
from guavapin.keyvalue.messages import Leased
from guavapin.keyvalue.messages import Missing
from guavapin.keyvalue.messages import Written
from guavapin_standins import platform_store
from guavapin_standins.platform import RunningPlatform
from guavapin_standins.platform_store import PlatformStore

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def conn() -> Iterator[HTTPConnection]:
    with RunningPlatform() as running:
        conn = HTTPConnection("127.0.0.1", running.task.port, timeout=5)
        yield conn
        conn.close()


def ask(conn: HTTPConnection, method: str, path: str, body: bytes = b"") -> int:
    conn.request(method, path, body, {"Guavapin-Zone": "surat"})
    answer = conn.getresponse()
    answer.read()
    return answer.status


def test_other_processes_control_it_over_http(conn: HTTPConnection) -> None:
    # Guards against faults that only tests in the stand-in's process can inject.
    assert ask(conn, "PUT", "/v1/kv/a?expect=0", b"x") == 200
    assert ask(conn, "PUT", "/standin/faults", b'{"outage": "error"}') == 200
    assert ask(conn, "GET", "/v1/kv/a") == 503
    assert ask(conn, "PUT", "/standin/faults", b"{}") == 200
    assert ask(conn, "GET", "/v1/kv/a") == 200
    assert ask(conn, "PUT", "/standin/hosts/h1?state=leaving") == 200
    conn.request("GET", "/standin/counters")
    counters = json.loads(conn.getresponse().read())
    assert counters["by_zone"] == {"surat": 3}
    assert counters["by_kind"] == {"put": 1, "get": 2}


def test_bad_calls_do_not_end_it(conn: HTTPConnection) -> None:
    # Guards against a stand-in that crashes during a demo.
    assert ask(conn, "PUT", "/standin/faults", b"{") == 400
    assert ask(conn, "PUT", "/standin/faults", b'{"outage": 1}') == 400
    assert ask(conn, "PUT", "/v1/kv/a", b"x") == 400
    assert ask(conn, "PUT", "/v1/kv/a?expect=x", b"x") == 400
    assert ask(conn, "GET", "/v1/watch?prefix=a&after=-&wait_ms=1") == 400
    assert ask(conn, "GET", "//[") == 400
    assert ask(conn, "POST", "/elsewhere") == 404
    assert ask(conn, "GET", "/v1/kv/a") == 404


def test_lapsed_leases_remove_their_keys() -> None:
    # Guards against keys that outlive their lease, and renewals without effect.
    clock = ManualClock()
    store = PlatformStore(clock)
    lease = store.grant(100)
    assert isinstance(lease, Leased)
    store.put("a", b"1", 0, lease.lease_id)
    store.put("b", b"1", 0)
    clock.advance(90)
    assert store.renew(lease.lease_id) == lease
    clock.advance(90)
    assert isinstance(store.get("a"), Found)
    clock.advance(10)
    assert store.get("a") == Missing()
    assert isinstance(store.get("b"), Found)
    assert store.changes("a", 0)[-1].deleted
    assert store.renew(lease.lease_id) == Missing()
    assert store.put("a", b"1", 0, lease.lease_id) == Missing()


def test_key_moves_between_leases() -> None:
    # Guards against a key that is removed with its previous lease.
    clock = ManualClock()
    store = PlatformStore(clock)
    first, second = store.grant(100), store.grant(200)
    written = store.put("a", b"1", 0, first.lease_id)
    assert isinstance(written, Written)
    store.put("a", b"2", written.revision, second.lease_id)
    clock.advance(150)
    assert isinstance(store.get("a"), Found)
    clock.advance(50)
    assert store.get("a") == Missing()
    assert store.delete("a", 5) == Conflict(0)


def test_watch_after_discarded_changes_shows_current_keys(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a watcher that misses keys after a long absence.
    monkeypatch.setattr(platform_store, "MAX_CHANGES", 4)
    store = PlatformStore(ManualClock())
    for number in range(20):
        store.put(f"p/{number:02d}", b"", 0)
    keys = store.changes("p/", 2)
    assert keys == tuple(KeyRevision(f"p/{n:02d}", n + 1) for n in range(2, 20))
