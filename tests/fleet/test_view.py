from __future__ import annotations

from guavapin.fleet import actions
from guavapin.fleet.codec import encode_fleet
from guavapin.fleet.effective import FleetChanged
from guavapin.fleet.messages import LeavingRelayed
from guavapin.fleet.messages import RecordRelayed
from guavapin.fleet.messages import RequestRelay
from guavapin.fleet.messages import WatchRole
from guavapin.fleet.state import FLEET_KEY
from guavapin.fleet.state import FleetState
from guavapin.fleet.state import HostPhase
from guavapin.fleet.view import FleetViewTask
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue import messages as platform
from tests.fleet.builders import must
from tests.fleet.builders import objects
from tests.fleet.builders import placed
from tests.fleet.builders import run
from tests.fleet.platform_double import PlatformDouble
from tests.fleet.platform_double import pump

OBJECTS = objects()
DRAINED = must(run(placed(OBJECTS), actions.Drain("a0"), OBJECTS))


class Rig:
    """A view and a platform double that answers watches only in `fire_watch`."""

    def __init__(self) -> None:
        self.double = PlatformDouble()
        self.double.hosts = dict.fromkeys(OBJECTS.hosts, "live")
        self.task = FleetViewTask(("exchanges",), relay_to="peers")
        self.harness = TaskHarness(self.task)
        self.watches = self.double.watches

    def start(self) -> list[object]:
        self.harness.start()
        return self.pump()

    def store(self, state: FleetState) -> None:
        self.double.revision += 1
        self.double.keys[FLEET_KEY] = (encode_fleet(state), self.double.revision)

    def pump(self) -> list[object]:
        return pump(self.harness, self.task, self.double)

    def fire_watch(self) -> list[object]:
        (watch,) = self.watches
        self.watches.clear()
        outcome = self.double.answer(watch)
        self.task.handle(platform.Reply(watch.request_id, outcome))
        return self.pump()

    def takes_work(self, host: str) -> bool:
        return self.task.fleet.hosts[host].takes_new_work


def started(is_holder: bool = True) -> Rig:
    rig = Rig()
    rig.store(placed(OBJECTS))
    rig.start()
    rig.task.handle(WatchRole(is_holder))
    rig.pump()
    return rig


def test_subscribers_get_the_first_view() -> None:
    rig = Rig()
    rig.store(placed(OBJECTS))
    (message,) = (m for m in rig.start() if isinstance(m, FleetChanged))
    assert len(message.hosts) == len(OBJECTS.hosts)


def test_drained_host_takes_no_new_work_after_the_watch() -> None:
    rig = started()
    rig.store(DRAINED)
    messages = rig.fire_watch()
    changed = [m for m in messages if isinstance(m, FleetChanged)]
    assert changed[0].changed == ("a0",) and not rig.takes_work("a0")
    assert any(isinstance(m, RecordRelayed) for m in messages)
    assert rig.watches, "the watch must go on"


def test_leaving_host_takes_no_new_work_within_3_s() -> None:
    rig = started()
    rig.double.hosts["a1"] = "leaving"
    rig.harness.advance(3_000)
    messages = rig.pump()
    assert not rig.takes_work("a1")
    assert LeavingRelayed(frozenset({"a1"})) in messages


def test_only_higher_revisions_are_adopted() -> None:
    """Guards against a late relay of an old record that makes a drained host serve."""
    rig = started()
    rig.store(DRAINED)
    rig.fire_watch()
    rig.task.handle(RecordRelayed(1, encode_fleet(placed(OBJECTS))))
    assert not rig.takes_work("a0")
    assert rig.task.counters.stale == 1


def test_process_without_watch_follows_relays() -> None:
    rig = started(is_holder=False)
    assert rig.watches == []
    rig.task.handle(RecordRelayed(50, encode_fleet(DRAINED)))
    rig.task.handle(LeavingRelayed(frozenset({"a1"})))
    assert not rig.takes_work("a0") and not rig.takes_work("a1")


def test_lost_relay_is_recovered_by_the_periodic_read() -> None:
    rig = started(is_holder=False)
    rig.store(DRAINED)
    rig.harness.advance(40_000)
    rig.pump()
    assert not rig.takes_work("a0")


def test_cut_off_process_keeps_its_view_and_catches_up() -> None:
    rig = started()
    rig.double.is_down = True
    rig.store(DRAINED)
    rig.fire_watch()
    for _ in range(60):
        rig.harness.advance(1_000)
        rig.pump()
    assert rig.takes_work("a0") and len(rig.task.fleet.hosts) == len(OBJECTS.hosts)
    rig.double.is_down = False
    rig.harness.advance(2_000)
    rig.pump()
    rig.fire_watch()
    assert not rig.takes_work("a0")


def test_calls_stay_few_while_the_platform_is_down() -> None:
    rig = started()
    rig.double.is_down = True
    rig.fire_watch()
    before = rig.double.calls
    for _ in range(600):
        rig.harness.advance(100)
        rig.pump()
    assert rig.double.calls - before <= 60 * 3


def test_damaged_record_is_not_adopted() -> None:
    rig = started()
    rig.task.handle(RecordRelayed(99, b"noise"))
    assert rig.takes_work("a0") and rig.task.fleet.revision < 99


def test_new_peer_gets_the_view_relayed() -> None:
    rig = started(is_holder=False)
    rig.task.handle(RequestRelay())
    kinds = {type(message) for message in rig.pump()}
    assert kinds == {RecordRelayed, LeavingRelayed}


def test_returning_host_takes_work_with_a_slow_start() -> None:
    state = must(run(placed(OBJECTS), actions.StartWave("w"), OBJECTS))
    state = must(run(state, actions.StartWaveHost("w", "a0"), OBJECTS, token=1))
    for phase in (HostPhase.DRAINING, HostPhase.REBOOTING, HostPhase.CHECKING):
        rig = started()
        rig.store(state)
        rig.fire_watch()
        assert not rig.takes_work("a0")
        action = actions.AdvanceWaveHost("a0", phase)
        state = must(run(state, action, OBJECTS, token=1))
    rig.store(state)
    rig.fire_watch()
    assert rig.takes_work("a0") and rig.task.fleet.hosts["a0"].is_returning


def test_drain_is_adopted_within_3_s_despite_a_silent_watch() -> None:
    """Guards against new work for a drained host until a silent watch's deadline.

    The watch is never answered here.
    """
    rig = started()
    rig.store(DRAINED)
    for _ in range(3):
        rig.harness.advance(1_000)
        rig.pump()
    assert not rig.takes_work("a0")
    assert len(rig.watches) == 1
