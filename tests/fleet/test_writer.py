from __future__ import annotations

from concurrent.futures import Future
from typing import Any

import pytest

from guavapin.fleet.actions import Drain
from guavapin.fleet.actions import FleetAction
from guavapin.fleet.actions import RaiseFence
from guavapin.fleet.actions import StartMove
from guavapin.fleet.actions import TrimOutbox
from guavapin.fleet.actions import Undrain
from guavapin.fleet.codec import decode_fleet
from guavapin.fleet.codec import encode_fleet
from guavapin.fleet.commands import FleetCommand
from guavapin.fleet.messages import Execute
from guavapin.fleet.messages import Executed
from guavapin.fleet.messages import HostsDown
from guavapin.fleet.messages import ObjectsUpdate
from guavapin.fleet.state import FLEET_KEY
from guavapin.fleet.state import FleetState
from guavapin.fleet.writer import RESOLVE_TIMEOUT_MS
from guavapin.fleet.writer import FleetWriterTask
from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.kernel import Outcome
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.kernel.harness import TaskHarness
from tests.fleet.builders import command
from tests.fleet.builders import must
from tests.fleet.builders import objects
from tests.fleet.builders import placed
from tests.fleet.builders import run
from tests.fleet.platform_double import DROPPED
from tests.fleet.platform_double import LATE
from tests.fleet.platform_double import LOST
from tests.fleet.platform_double import NOT_SENT
from tests.fleet.platform_double import RATE_LIMITED
from tests.fleet.platform_double import PlatformDouble
from tests.fleet.platform_double import pump

OBJECTS = objects()


class Rig:
    """A writer, its harness and a platform double, which other rigs may share."""

    def __init__(self, double: PlatformDouble | None = None) -> None:
        self.double = double or PlatformDouble()
        if double is None:
            self.double.hosts = dict.fromkeys(OBJECTS.hosts, "live")
            self.store(placed(OBJECTS))
        self.task = FleetWriterTask()
        self.harness = TaskHarness(self.task)
        self.harness.start()
        self.task.handle(ObjectsUpdate(OBJECTS, 1))

    def store(self, state: FleetState) -> None:
        self.double.revision += 1
        self.double.keys[FLEET_KEY] = (encode_fleet(state), self.double.revision)

    @property
    def state(self) -> FleetState:
        outcome = decode_fleet(self.double.keys[FLEET_KEY][0])
        assert isinstance(outcome, Ok)
        return outcome.value

    def ask(self, action: FleetAction, token: int | None = None) -> Future[Any]:
        fut: Future[Any] = Future()
        self.task.handle(Call(command(action, token), fut))
        pump(self.harness, self.task, self.double)
        return fut

    def wait(self, milliseconds: int) -> None:
        for _ in range(milliseconds // 50):
            self.harness.advance(50)
            pump(self.harness, self.task, self.double)


@pytest.fixture
def rig() -> Rig:
    return Rig()


def changes(state: FleetState) -> list[str]:
    return [entry.action for entry in state.outbox]


def test_command_is_written_with_its_audit_entry(rig: Rig) -> None:
    outcome = rig.ask(Drain("a0")).result(0)
    assert isinstance(outcome, Ok) and outcome.value.sequence == 1
    assert "a0" in rig.state.disruptions and changes(rig.state) == ["host.drain"]


def test_command_by_message_is_answered_by_message(rig: Rig) -> None:
    rig.task.handle(Execute("operators", 7, command(Drain("a0"))))
    (answer,) = pump(rig.harness, rig.task, rig.double)
    assert isinstance(answer, Executed) and answer.request_id == 7
    assert isinstance(answer.outcome, Ok)


def test_only_one_of_two_writers_uses_up_the_budget(rig: Rig) -> None:
    """Both read the same record; the one with the conflict must evaluate again."""
    other = Rig(rig.double)
    Rig(rig.double).ask(Drain("a0")).result(0)
    second: list[Future[Any]] = []

    def race(_: object) -> None:
        rig.double.before = None
        second.append(other.ask(Drain("a2")))

    first: Future[Any] = Future()
    rig.task.handle(Call(command(Drain("a1")), first))
    get = rig.harness.take_sent()[0].message
    rig.task.handle(_reply(get, rig.double))
    rig.double.before = race
    pump(rig.harness, rig.task, rig.double)
    outcomes: list[Outcome[Any]] = [first.result(0), second[0].result(0)]
    assert [type(outcome) for outcome in outcomes] == [Refused, Ok]
    assert outcomes[0].reason is Reason.BUDGET  # type: ignore[union-attr]
    assert set(rig.state.disruptions) == {"a0", "a2"}


def _reply(request: Any, double: PlatformDouble) -> Any:
    from guavapin.keyvalue.messages import Reply

    return Reply(request.request_id, double.answer(request))


@pytest.mark.parametrize("fault", [LOST, DROPPED, LATE])
def test_lost_answer_is_resolved_and_applied_once(rig: Rig, fault: str) -> None:
    """Guards against a change that is lost or repeated because its answer was lost."""
    rig.double.faults.append(fault)
    fut = rig.ask(Drain("a0"))
    assert not fut.done()
    rig.wait(500)
    rig.double.deliver_late()
    assert isinstance(fut.result(0), Ok)
    assert changes(rig.state) == ["host.drain"]


@pytest.mark.parametrize("fault", [LOST, DROPPED])
def test_lost_answer_is_resolved_behind_other_writers(rig: Rig, fault: str) -> None:
    rig.double.faults.append(fault)
    fut = rig.ask(Drain("a0"))
    Rig(rig.double).ask(Drain("b0"))
    rig.wait(500)
    assert isinstance(fut.result(0), Ok)
    assert sorted(rig.state.disruptions) == ["a0", "b0"]
    assert len(rig.state.outbox) == 2


def test_repeated_losses_end_as_unknown_in_time(rig: Rig) -> None:
    rig.double.faults.extend([DROPPED] * 200)
    fut = rig.ask(Drain("a0"))
    rig.wait(RESOLVE_TIMEOUT_MS + 1_000)
    outcome = fut.result(0)
    assert isinstance(outcome, Refused) and outcome.reason is Reason.OUTCOME_UNKNOWN


def test_lost_write_whose_entry_was_trimmed_is_reported_as_unknown(rig: Rig) -> None:
    """Without its audit entry the outcome is undecidable; no repetition may follow."""
    rig.double.faults.append(LOST)
    fut = rig.ask(Drain("a0"))
    other = Rig(rig.double)
    for _ in range(20):
        other.ask(Drain("b0"))
        other.ask(Undrain("b0"))
    other.ask(TrimOutbox(40), token=1)
    rig.wait(500)
    outcome = fut.result(0)
    assert isinstance(outcome, Refused) and outcome.reason is Reason.OUTCOME_UNKNOWN


@pytest.mark.parametrize("fault", [NOT_SENT, RATE_LIMITED])
def test_write_without_effect_is_refused_at_once(rig: Rig, fault: str) -> None:
    rig.double.faults.append(fault)
    assert isinstance(rig.ask(Drain("a0")).result(0), Refused)
    assert rig.state.disruptions == {}


def test_command_is_refused_at_once_while_the_platform_is_down(rig: Rig) -> None:
    rig.double.is_down = True
    outcome = rig.ask(Drain("a0")).result(0)
    assert isinstance(outcome, Refused) and outcome.reason is Reason.UNREACHABLE


def test_repeated_command_is_applied_once(rig: Rig) -> None:
    same = FleetCommand("same", "tester", Drain("a0"))
    for _ in range(2):
        fut: Future[Any] = Future()
        rig.task.handle(Call(same, fut))
        pump(rig.harness, rig.task, rig.double)
        assert isinstance(fut.result(0), Ok)
    assert len(rig.state.outbox) == 1


def test_duty_holder_below_the_fence_is_refused(rig: Rig) -> None:
    rig.ask(RaiseFence(), token=20)
    outcome = rig.ask(StartMove("b0", "a"), token=10).result(0)
    assert isinstance(outcome, Refused) and outcome.reason is Reason.FENCED


def test_holder_paused_between_read_and_write_changes_nothing(rig: Rig) -> None:
    """The paused writer's compare-and-swap conflicts; then the fence refuses it."""
    fut: Future[Any] = Future()
    rig.task.handle(Call(command(StartMove("b0", "a"), token=10), fut))
    get = rig.harness.take_sent()[0].message
    rig.task.handle(_reply(get, rig.double))
    Rig(rig.double).ask(RaiseFence(), token=20)
    pump(rig.harness, rig.task, rig.double)
    outcome = fut.result(0)
    assert isinstance(outcome, Refused) and outcome.reason is Reason.FENCED
    assert rig.state.disruptions == {}


def test_hosts_found_down_by_health_checks_count_as_down(rig: Rig) -> None:
    rig.task.handle(HostsDown(frozenset({"a4", "a5"})))
    outcome = rig.ask(Drain("a0")).result(0)
    assert isinstance(outcome, Refused) and outcome.reason is Reason.BUDGET


def test_own_last_write_saves_a_read_but_not_a_conflict(rig: Rig) -> None:
    rig.ask(Drain("a0"))
    before = rig.double.calls
    assert isinstance(rig.ask(Drain("a1")).result(0), Ok)
    assert rig.double.calls == before + 1
    Rig(rig.double).ask(Undrain("a0"))
    assert isinstance(rig.ask(Drain("a2")).result(0), Ok)
    assert sorted(rig.state.disruptions) == ["a1", "a2"]


def test_no_command_is_refused_because_of_an_old_record(rig: Rig) -> None:
    """Guards against a refusal by the cached record after another process undrained."""
    rig.ask(Drain("a0"))
    rig.ask(Drain("a1"))
    Rig(rig.double).ask(Undrain("a0"))
    assert isinstance(rig.ask(Drain("a2")).result(0), Ok)


def test_unreadable_record_refuses_instead_of_being_overwritten(rig: Rig) -> None:
    rig.double.keys[FLEET_KEY] = (b"noise", 99)
    assert isinstance(rig.ask(Drain("a0")).result(0), Refused)
    assert rig.double.keys[FLEET_KEY] == (b"noise", 99)


def test_stop_answers_everything_that_waits(rig: Rig) -> None:
    rig.double.faults.append(DROPPED)
    futs = [rig.ask(Drain("a0")), rig.ask(Drain("b0"))]
    rig.task.stop()
    reasons = [fut.result(0).reason for fut in futs]
    assert reasons == [Reason.OUTCOME_UNKNOWN, Reason.STOPPING]


def test_cancelled_call_does_not_stop_the_writer(rig: Rig) -> None:
    fut: Future[Any] = Future()
    fut.cancel()
    rig.task.handle(Call(command(Drain("a0")), fut))
    assert isinstance(rig.ask(Drain("a1")).result(0), Ok)


def test_first_command_creates_the_record() -> None:
    from guavapin.fleet.actions import AdmitHost

    rig = Rig()
    del rig.double.keys[FLEET_KEY]
    assert isinstance(rig.ask(AdmitHost("a0", "a")).result(0), Ok)
    assert rig.state.placements == {"a0": "a"}


def test_answer_shows_the_state_that_was_written(rig: Rig) -> None:
    applied = rig.ask(Drain("a0")).result(0).value
    assert applied.state == rig.state
    assert must(run(rig.state, Undrain("a0"), OBJECTS)).disruptions == {}
