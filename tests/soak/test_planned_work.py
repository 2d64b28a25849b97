"""The planned work of a run, and what the checks of its requests report."""

from __future__ import annotations

import hashlib
import signal
import socket
import subprocess
import threading
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from guavapin_soak.answer_checks import LOSS_SLACK_MS
from guavapin_soak.answer_checks import Exchange
from guavapin_soak.answer_checks import ExchangeEnd
from guavapin_soak.answer_checks import answer_violations
from guavapin_soak.answer_checks import exit_violation
from guavapin_soak.open_connection import OpenConnection
from guavapin_soak.planned_host import GRACE_MS
from guavapin_soak.planned_run import run_planned_work
from guavapin_soak.planned_work import MANIFEST_KINDS
from guavapin_soak.planned_work import WorkKind
from guavapin_soak.planned_work import plan_work
from guavapin_soak.processor_wait import ProcessorWait
from guavapin_soak.processor_wait import ThreadTimes
from guavapin_soak.processor_wait import has_waiting_thread
from guavapin_soak.processor_wait import longest_wait_ms

if TYPE_CHECKING:
    from collections.abc import Callable

REGRESSIONS = Path(__file__).parent / "regressions.toml"
LENGTH_MS = 12_000

# A seed with stops, a second SIGTERM in a stop, a SIGHUP in a start and a manifest.
SHORT_SEED = 3
SHORT_LENGTH_MS = 3_000

REQUEST = b"GET /q/a HTTP/1.1\r\nHost: jobs.example\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
NOTHING_HELD_BACK = (0, 0.0)


def exchange(end: ExchangeEnd, after_ms: int) -> Exchange:
    return Exchange("e0", "GET a", 1_000, 1_000 + after_ms, end)


def test_lost_and_silent_requests_are_reported() -> None:
    # Guards against a check that cannot fail.
    lost = exchange(ExchangeEnd.CUT, LOSS_SLACK_MS + 1)
    silent = exchange(ExchangeEnd.SILENT, 9_000)
    assert len([*answer_violations([lost, silent])]) == 2


def test_requests_that_the_rule_excuses_are_not_reported() -> None:
    # Guards against runs that fail although no rule is broken.
    excused = (
        exchange(ExchangeEnd.ANSWERED, 9_000),
        exchange(ExchangeEnd.NOT_READ, 9_000),
        exchange(ExchangeEnd.CUT, LOSS_SLACK_MS),
    )
    assert [*answer_violations(excused)] == []


@pytest.mark.parametrize(
    ("code", "after_ms", "is_reported"),
    [
        (0, 3_000, False),
        (0, GRACE_MS, False),
        (0, GRACE_MS + 1, True),
        (0, -1, True),
        (1, 3_000, True),
        (-signal.SIGTERM, 3_000, True),
        (-signal.SIGHUP, -1, True),
    ],
)
def test_ends_other_than_a_graceful_stop_are_reported(
    code: int, after_ms: int, is_reported: bool
) -> None:
    # Guards against a process that ends by a signal's default action unnoticed.
    assert bool(exit_violation("e0", code, after_ms, GRACE_MS)) is is_reported


def test_a_seed_gives_the_same_planned_work_each_time() -> None:
    # Guards against a failed seed that cannot be reproduced.
    assert plan_work(7, LENGTH_MS, 3) == plan_work(7, LENGTH_MS, 3)
    assert plan_work(7, LENGTH_MS, 3) != plan_work(8, LENGTH_MS, 3)


def test_a_seed_that_failed_before_keeps_its_planned_work() -> None:
    # Guards against regression seeds that lose their meaning when a kind is added: the
    # digest is that of the plan with which seed 6 failed.
    rows = [
        (step.at_ms, step.kind.name, step.targets, step.delay_ms)
        for step in plan_work(6, 6_000, 3)
    ]
    digest = hashlib.sha256(repr(rows).encode()).hexdigest()
    assert digest == "76dd8e486fa0779ff839e17fe4e9730c30bac303be204d9af029efbecd1bf392"


def test_fifty_seeds_draw_every_kind_on_known_hosts() -> None:
    # Guards against a kind of planned work that the default fifty seeds never draw.
    steps = [step for seed in range(1, 51) for step in plan_work(seed, LENGTH_MS, 3)]
    assert {step.kind for step in steps} == set(WorkKind)
    for step in steps:
        assert set(step.targets) <= {0, 1, 2}
        assert bool(step.targets) is (step.kind not in MANIFEST_KINDS)
    assert any(len(step.targets) > 1 for step in steps)


class OneConnection:
    """Listener whose only connection is handled by `serve` on its own thread."""

    def __init__(self, serve: Callable[[socket.socket], object]) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._run, args=(serve,))
        self._thread.start()

    def _run(self, serve: Callable[[socket.socket], object]) -> None:
        with self._listener, self._listener.accept()[0] as sock:
            serve(sock)

    def join(self) -> None:
        self._thread.join()


def read_request(sock: socket.socket) -> None:
    data = b""
    while not data.endswith(b"\r\n\r\n"):
        data += sock.recv(4_096)


def answer_one(sock: socket.socket) -> None:
    read_request(sock)
    sock.sendall(ANSWER)


def answer_in_part(sock: socket.socket) -> None:
    read_request(sock)
    sock.sendall(ANSWER[:-1])


def close_unread(sock: socket.socket) -> None:
    sock.recv(1)


@pytest.mark.parametrize(
    ("serve", "expected"),
    [
        (answer_one, ExchangeEnd.ANSWERED),
        (read_request, ExchangeEnd.CUT),
        (answer_in_part, ExchangeEnd.CUT),
        (close_unread, ExchangeEnd.NOT_READ),
    ],
)
def test_a_lost_request_is_told_from_an_unread_one(
    serve: Callable[[socket.socket], object], expected: ExchangeEnd
) -> None:
    # Guards against lost requests that count as unread, and the reverse.
    site = OneConnection(serve)
    conn = OpenConnection("e0", site.port, lambda: 0)
    row, body = conn.ask("GET a", REQUEST, 1_000, NOTHING_HELD_BACK)
    assert row.end is expected
    assert body == (b"ok" if expected is ExchangeEnd.ANSWERED else b"")
    conn.close()
    site.join()


def test_a_request_sent_after_the_close_counts_as_unread() -> None:
    # Guards against runs that fail by callers who use a connection that was closed.
    site = OneConnection(lambda sock: None)
    conn = OpenConnection("e0", site.port, lambda: 0)
    site.join()
    row, _ = conn.ask("GET a", REQUEST, 1_000, NOTHING_HELD_BACK)
    assert row.end is ExchangeEnd.NOT_READ


def test_a_request_without_an_answer_is_reported_as_silent() -> None:
    # Guards against a process that hangs while callers wait for it.
    done = threading.Event()
    site = OneConnection(lambda sock: done.wait())
    conn = OpenConnection("e0", site.port, lambda: 0)
    row, _ = conn.ask("GET a", REQUEST, 0, NOTHING_HELD_BACK)
    assert row.end is ExchangeEnd.SILENT
    done.set()
    site.join()


def test_a_caller_waits_longer_for_a_process_without_a_processor(monkeypatch) -> None:
    # Guards against runs that fail since the machine is busy: processes that could run
    # waited for a processor for 0.9 s at a load of 13 on 8 cores.
    monkeypatch.setattr(ProcessorWait, "measure_ms", lambda self: 5_000)
    late = threading.Event()
    site = OneConnection(lambda sock: (late.wait(1.2), answer_one(sock)))
    conn = OpenConnection("e0", site.port, lambda: 0)
    row, _ = conn.ask("GET a", REQUEST, 0, NOTHING_HELD_BACK)
    assert (row.end, row.processor_wait_ms) == (ExchangeEnd.ANSWERED, 5_000)
    conn.close()
    site.join()


def test_only_a_wait_for_a_processor_is_measured() -> None:
    # Guards against a check that excuses a process that hangs or sleeps.
    idle, ran = ThreadTimes(False, 5, 7), ThreadTimes(True, 9, 7)
    queued, woken = ThreadTimes(True, 5, 7), ThreadTimes(True, 5, 80_000_000)
    assert not has_waiting_thread({"1": idle}, {"1": idle})
    assert not has_waiting_thread({"1": queued}, {"1": ran})
    assert has_waiting_thread({"1": queued}, {"1": queued})
    assert longest_wait_ms({"1": idle}, {"1": woken, "2": queued}) == 79
    with subprocess.Popen(["sleep", "9"]) as process:
        wait = ProcessorWait(process.pid)
        assert wait.measure_ms() == 0
        process.kill()


def test_a_short_run_of_planned_work_loses_no_request(tmp_path: Path) -> None:
    # Guards against requests that are read and not answered while processes stop.
    result = run_planned_work(SHORT_SEED, SHORT_LENGTH_MS, 2, tmp_path)
    assert result.violations == ()
    assert result.stops > 1
    assert result.ends[ExchangeEnd.ANSWERED] > 0


@pytest.mark.parametrize(
    "case",
    tomllib.loads(REGRESSIONS.read_text())["planned"],
    ids=lambda case: f"seed {case['seed']}",
)
def test_planned_work_that_failed_before_passes(case: dict, tmp_path: Path) -> None:
    # Guards against the cause that the case names.
    result = run_planned_work(case["seed"], case["length_ms"], case["hosts"], tmp_path)
    assert result.violations == ()
