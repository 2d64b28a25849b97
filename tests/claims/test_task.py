from __future__ import annotations

import queue
from typing import TYPE_CHECKING

import pytest

from guavapin.claims.messages import ClaimAnswer
from guavapin.claims.messages import ClaimGranted
from guavapin.claims.messages import ClaimKey
from guavapin.claims.messages import ClaimRefused
from guavapin.claims.messages import NotRun
from guavapin.claims.messages import RecordAnswer
from guavapin.claims.messages import RecordedAnswer
from guavapin.claims.store import ClaimsConfig
from guavapin.claims.task import ClaimsTask
from guavapin.claims.task import ReadCounters
from guavapin.http.multi_driver import MultiTimer
from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import Outcome
from guavapin.kernel import SystemClock
from guavapin.kernel import TaskContext
from guavapin.kernel.harness import TaskHarness
from guavapin.kernel.outcome import Reason
from guavapin.keyvalue.client import PlatformConfig
from guavapin.keyvalue.client import PlatformTask
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import NotSent
from guavapin.keyvalue.messages import Reply
from guavapin_standins.platform import RunningPlatform
from guavapin_standins.platform_controls import Faults
from guavapin_standins.platform_controls import Limits

if TYPE_CHECKING:
    from collections.abc import Iterator


class Exchanges:
    name = "exchanges"

    def __init__(self) -> None:
        self.answers: queue.Queue[ClaimAnswer] = queue.Queue()

    def start(self, context: TaskContext) -> Outcome[None]:
        return Ok(None)

    def handle(self, message: object) -> None:
        assert isinstance(message, ClaimGranted | ClaimRefused)
        self.answers.put(message)

    def stop(self) -> None:
        return


class EntryHost:
    """The tasks `exchanges`, `claims` and `platform` of one entry host."""

    def __init__(self, url: str, zone: str) -> None:
        cfg = PlatformConfig(url, zone=zone, deadline_ms=300)
        self.exchanges = Exchanges()
        self.kernel = Kernel(SystemClock())
        self.kernel.register(self.exchanges, loop="serving")
        self.kernel.register(PlatformTask(cfg), loop="control")
        claims = ClaimsTask(ClaimsConfig(confirm_timeout_ms=1_000))
        self.kernel.register(claims, loop="control", requires=("platform",))
        self.kernel.start()

    def claim(self, request_id: int, key: str, wait_ms: int = 5_000) -> None:
        deadline_ms = self.kernel.clock.now_ms() + wait_ms
        claim = ClaimKey(request_id, "renewals", key, b"d", deadline_ms)
        self.kernel.deliver("claims", claim)

    def answer(self) -> ClaimAnswer:
        return self.exchanges.answers.get(timeout=10)


@pytest.fixture
def platform() -> Iterator[RunningPlatform]:
    with RunningPlatform(limits=Limits(1e6, 1e6)) as running:
        yield running


@pytest.fixture
def hosts(platform: RunningPlatform) -> Iterator[list[EntryHost]]:
    hosts = [EntryHost(platform.url, zone) for zone in ("matane", "gaspe")]
    yield hosts
    for host in hosts:
        host.kernel.stop()


def test_repeated_request_gets_the_answer_on_another_host_over_http(
    hosts: list[EntryHost], platform: RunningPlatform
) -> None:
    # Guards against stores that work only in the simulation. The answers to the writes
    # of the claim and of the outcome are lost; a watch brings the answer to the other
    # host.
    hosts[0].claim(1, "warm")
    assert hosts[0].answer() == ClaimGranted(1)
    platform.set_faults(Faults(lost_answers=1))
    hosts[0].claim(2, "k")
    assert hosts[0].answer() == ClaimGranted(2)
    hosts[1].claim(3, "k")
    hosts[1].claim(4, "k")
    platform.set_faults(Faults(lost_answers=1))
    answer = RecordAnswer(2, 201, ((b"content-type", b"text/plain"),), b"\x00renewed")
    hosts[0].kernel.deliver("claims", answer)
    recorded = RecordedAnswer(answer.status, answer.headers, answer.body)
    assert hosts[1].answer() == ClaimRefused(3, recorded)
    assert hosts[1].answer() == ClaimRefused(4, recorded)


def test_zone_cut_off_from_the_platform_refuses_keyed_requests(
    hosts: list[EntryHost], platform: RunningPlatform
) -> None:
    # Guards against keyed requests that run or hang without the platform.
    hosts[0].claim(1, "a")
    assert hosts[0].answer() == ClaimGranted(1)
    platform.set_faults(Faults(cut_off_zones=("matane",)))
    hosts[0].claim(2, "k")
    refused = hosts[0].answer()
    assert isinstance(refused, ClaimRefused)
    assert isinstance(refused.outcome, NotRun)
    assert refused.outcome.reason is Reason.CUT_OFF
    hosts[1].claim(3, "k")
    assert hosts[1].answer() == ClaimGranted(3)
    platform.set_faults(Faults())
    hosts[0].claim(4, "l", wait_ms=8_000)
    while isinstance(answer := hosts[0].answer(), ClaimRefused):
        assert isinstance(answer.outcome, NotRun)
        hosts[0].claim(answer.request_id + 1, "l", wait_ms=8_000)
    counters = hosts[0].kernel.ask("claims", ReadCounters()).result(5)
    assert counters["granted"] == 2


def test_outcome_survives_a_slow_platform_and_an_outage(
    hosts: list[EntryHost], platform: RunningPlatform
) -> None:
    # Guards against a slow platform treated as an outage, and against an outcome that
    # is lost in an outage.
    hosts[0].claim(1, "warm")
    assert hosts[0].answer() == ClaimGranted(1)
    platform.set_faults(Faults(delay_ms=100))
    hosts[0].claim(2, "k")
    assert hosts[0].answer() == ClaimGranted(2)
    platform.set_faults(Faults(outage="silent"))
    answer = RecordAnswer(2, 200, (), b"done during the outage")
    hosts[0].kernel.deliver("claims", answer)
    hosts[0].claim(3, "k")
    recorded = RecordedAnswer(answer.status, answer.headers, answer.body)
    assert hosts[0].answer() == ClaimRefused(3, recorded)
    hosts[1].claim(4, "l")
    refused = hosts[1].answer()
    assert isinstance(refused, ClaimRefused)
    assert isinstance(refused.outcome, NotRun)
    platform.set_faults(Faults())
    hosts[1].claim(5, "k")
    while isinstance(got := hosts[1].answer(), ClaimRefused):
        if got.outcome == recorded:
            return
        assert isinstance(got.outcome, NotRun)
        hosts[1].claim(got.request_id + 1, "k")
    raise AssertionError("a key with a recorded answer was granted")


@pytest.mark.parametrize("fault", [Faults(outage="silent"), Faults(outage="closed")])
def test_stop_with_calls_in_flight_ends_without_failure(
    platform: RunningPlatform, fault: Faults
) -> None:
    # Guards against a loop failure when the process stops with calls in flight.
    host = EntryHost(platform.url, "matane")
    host.claim(1, "warm")
    assert host.answer() == ClaimGranted(1)
    platform.set_faults(fault)
    for number in range(2, 60):
        host.claim(number, f"k{number}")
    assert host.kernel.ask("claims", ReadCounters()).result(5)["keys"] >= 1
    host.kernel.ask("platform", Get("", 0, "a"))
    assert host.kernel.stop() == ()
    assert host.kernel.wait_for_failure(0) is None


def test_calls_after_the_stop_are_not_sent(platform: RunningPlatform) -> None:
    # Guards against calls on the closed client by the timer of another service.
    client = PlatformTask(PlatformConfig(platform.url))
    harness = TaskHarness(client)
    harness.start()
    client.handle(Get("claims", 1, "a"))
    client.stop()
    client.handle(Get("claims", 2, "a"))
    client.handle(MultiTimer())
    replies = [sent.message for sent in harness.take_sent()]
    assert [reply.request_id for reply in replies if isinstance(reply, Reply)] == [1, 2]
    assert isinstance(replies[1], Reply)
    assert isinstance(replies[1].outcome, NotSent)
