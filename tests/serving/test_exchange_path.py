"""Tests of front, exchanges and upstreams together, with upstream stand-ins."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import SystemClock
from guavapin.serving.exchange_settings import ExchangeSettings
from guavapin.serving.exchanges import ExchangesTask
from guavapin.serving.front import FrontTask
from guavapin.serving.front_config import FrontConfig
from guavapin.serving.messages import GetCounts
from guavapin.serving.route_table import RouteTableChanged
from guavapin.serving.route_table import build_route_table
from guavapin.serving.upstreams import UpstreamsTask
from guavapin.serving.upstreams_config import UpstreamsConfig
from guavapin_standins.upstream import UpstreamStandIn
from guavapin_standins.upstream_messages import Behaviour
from guavapin_standins.upstream_messages import GetRecord
from guavapin_standins.upstream_messages import Record
from guavapin_standins.upstream_messages import SetBehaviour
from tests.serving.exchange_support import make_objects
from tests.serving.support import Caller

if TYPE_CHECKING:
    from collections.abc import Iterator

SLOTS = 2
WAIT_S = 10


class Site:
    """An entry process with one pool of two upstreams."""

    def __init__(self) -> None:
        self.kernel = Kernel(SystemClock())
        self.front = FrontTask(FrontConfig())
        self.standins = [UpstreamStandIn(slots=SLOTS) for _ in range(2)]
        for index, standin in enumerate(self.standins):
            standin.name = f"u{index}"
            self.kernel.register(standin, loop="standins")
        settings = ExchangeSettings("a", is_first_start=True)
        self.kernel.register(ExchangesTask(settings), loop="serving")
        self.kernel.register(UpstreamsTask(UpstreamsConfig()), loop="serving")
        self.kernel.register(self.front, loop="serving", requires=("upstreams",))
        assert self.kernel.start() == Ok(None)
        objects = make_objects(hosts=2, slots=SLOTS)
        hosts = {
            name: replace(host, address=f"127.0.0.1:{standin.port}")
            for (name, host), standin in zip(
                objects.hosts.items(), self.standins, strict=True
            )
        }
        objects = replace(objects, hosts=hosts)
        table = build_route_table(objects, 1, {name: "p" for name in hosts})
        self.kernel.deliver("exchanges", RouteTableChanged(table))

    def set_behaviour(self, index: int, **switches: object) -> None:
        message = SetBehaviour(Behaviour(**switches))  # type: ignore[arg-type]
        self.kernel.ask(f"u{index}", message).result(WAIT_S)

    def record(self, index: int) -> Record:
        record: Record = self.kernel.ask(f"u{index}", GetRecord()).result(WAIT_S)
        return record

    def counts(self) -> dict[str, int]:
        counts: dict[str, int]
        counts = self.kernel.ask("exchanges", GetCounts()).result(WAIT_S)
        return counts

    def ask(
        self, number: int, method: str = "GET", **headers: str
    ) -> tuple[int, bytes]:
        caller = Caller(self.front.port)
        answer = caller.ask(method, f"/s/x?n={number}", **headers)
        caller.close()
        return answer.status, answer.body


@pytest.fixture
def site() -> Iterator[Site]:
    site = Site()
    yield site
    assert site.kernel.wait_for_failure(0) is None
    assert site.kernel.stop() == ()


def test_concurrent_callers_get_their_own_answers_within_the_slots(site: Site) -> None:
    """Guards against swapped answers and exceeded slots on the real path."""
    with ThreadPoolExecutor(16) as pool:
        answers = list(pool.map(lambda n: site.ask(n, Guavapin_Run_Ms="5"), range(120)))
    assert answers == [(200, f"/s/x?n={n}".encode()) for n in range(120)]
    records = [site.record(index) for index in range(2)]
    assert sum(len(record.runs) for record in records) == 120
    assert all(record.violations == 0 for record in records)
    assert all(record.highest_running <= SLOTS for record in records)
    assert site.counts()["requests_in_progress"] == 0


def test_failing_upstream_is_hidden_from_callers_that_may_repeat(site: Site) -> None:
    """Guards against callers that see the failures of one upstream of the pool."""
    for number in range(60):
        assert site.ask(number)[0] == 200
    site.set_behaviour(0, fails=True)
    statuses = [site.ask(number)[0] for number in range(60, 160)]
    assert statuses.count(200) == 100


def test_charge_runs_once_when_its_answer_is_lost(site: Site) -> None:
    """Guards against a second run when a connection closes without an answer."""
    for index in range(2):
        site.set_behaviour(index, close_unanswered=1)
    status, body = site.ask(1, "POST", Guavapin_Request_Id="charge")
    assert status == 504
    assert body.startswith(b"unknown")
    runs = [
        run
        for index in range(2)
        for run in site.record(index).runs
        if run.request_identity == "charge"
    ]
    assert len(runs) == 1
