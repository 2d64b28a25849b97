"""Machines are ordered only under a lease that outlasts the order."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from guavapin.duties.messages import DutyHeld
from guavapin.duties.messages import DutyLost
from guavapin.http.messages import AbortCalls
from guavapin.http.messages import PeerReply
from guavapin.http.messages import Unanswered
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue import messages as kv
from guavapin.keyvalue.follower import PrefixChanged
from guavapin.keyvalue.follower import PrefixListed
from guavapin.machines.model import ListMachines
from guavapin.machines.model import MachinePage
from guavapin.machines.model import MaintenanceWave
from guavapin.machines.model import MoveMachine
from guavapin.machines.model import OrderDone
from guavapin.machines.order_record import ORDERED_KEY
from guavapin.machines.record_codec import decode_ordered
from guavapin.machines.task import LIST_INTERVAL_MS
from guavapin.machines.task import MAINTAINED_PREFIX
from guavapin.machines.task import MachinesTask
from guavapin.scheduling.messages import CordonHosts
from guavapin.scheduling.messages import FleetLoad
from guavapin.scheduling.messages import HostLoad
from guavapin.scheduling.messages import QueueTableChanged
from guavapin.scheduling.messages import SchedulingEnded
from tests.machines.test_planner import TABLE
from tests.machines.test_planner import TIMES
from tests.machines.test_planner import host
from tests.machines.test_planner import machine

if TYPE_CHECKING:
    from guavapin.http.messages import CallOutcome
    from guavapin.machines.model import MachineOrder
    from guavapin.machines.model import MachineOutcome
    from guavapin.machines.model import Validity

LOAD_INTERVAL_MS = 100
LEASE_MS = 1_350
WAVE = MaintenanceWave(4, ("m",), 9_000, 1)
TOKEN = 3


class EchoCodec:
    """Sends an order as it is; the answer to every list is one idle machine.

    Every answered order has been carried out.
    """

    def encode(
        self, reply_to: str, request_id: int, order: MachineOrder, validity: Validity
    ) -> tuple[int, MachineOrder, Validity]:
        return request_id, order, validity

    def decode(self, order: MachineOrder, outcome: CallOutcome) -> MachineOutcome:
        if isinstance(order, ListMachines):
            return MachinePage((machine("m", "a"),), "")
        return OrderDone()


class WaveCodec:
    """Every value is the same wave."""

    prefix = "op/wave/"

    def decode(self, value: bytes) -> MaintenanceWave:
        return WAVE

    def status_key(self, wave: int) -> str:
        return f"status/wave/{wave}"

    def encode_status(self, is_done: bool) -> bytes:
        return b"done" if is_done else b"running"


class Rig:
    """A `MachinesTask` whose lease is renewed while `is_lease_renewed` is set."""

    def __init__(self) -> None:
        task = MachinesTask(EchoCodec(), WaveCodec(), TIMES, "node", "duty/scheduler")
        self.task, self.harness = task, TaskHarness(task, 10_000)
        self.harness.start()
        task.handle(QueueTableChanged(TABLE))
        self.is_lease_renewed = True
        self.until_ms = 0
        # Time of sending, order and validity.
        self.orders: list[tuple[int, MachineOrder, Validity]] = []
        self.aborted_ms: list[int] = []
        self.cordons: list[CordonHosts] = []
        self.is_store_silent = False
        self.is_write_refused = False
        self.are_orders_answered = False
        # Machines that the previous holder has recorded, and those recorded since.
        self.predecessor = b'["m"]'
        self.recorded: list[frozenset[str]] = []
        # Other keys that were written, with the expected revisions.
        self.written: list[tuple[kv.KeyValue, tuple[kv.KeyRevision, ...]]] = []

    def advance(self, delta_ms: int, idle: HostLoad) -> None:
        """Report the load as often as the scheduler does, and answer lists."""
        for _ in range(delta_ms // LOAD_INTERVAL_MS):
            self.harness.advance(LOAD_INTERVAL_MS)
            now_ms = self.harness.now_ms()
            if self.is_lease_renewed:
                self.until_ms = now_ms + LEASE_MS
                self.task.handle(DutyHeld("scheduler", TOKEN, self.until_ms))
            self.task.handle(FleetLoad(TOKEN, (idle,), ()))
            self.collect()

    def collect(self) -> None:
        """Record the orders and aborts that were sent, and answer other calls."""
        for sent in self.harness.take_sent():
            if isinstance(sent.message, CordonHosts):
                self.cordons.append(sent.message)
            if sent.service == "platform" and not self.is_store_silent:
                self.answer_store(sent.message)
            if sent.service != "http":
                continue
            if isinstance(sent.message, AbortCalls):
                self.aborted_ms.append(self.harness.now_ms())
                continue
            request_id, order, validity = sent.message
            if isinstance(order, ListMachines):
                self.task.handle(PeerReply(request_id, Unanswered(True, "")))
            else:
                self.orders.append((self.harness.now_ms(), order, validity))
                if self.are_orders_answered:
                    self.task.handle(PeerReply(request_id, Unanswered(True, "")))

    def answer_store(self, request: kv.PlatformRequest) -> None:
        """Answer a call to the store and collect what it leads to."""
        outcome: kv.PlatformOutcome = kv.Found(self.predecessor, 7)
        if isinstance(request, kv.Transact):
            (put,) = request.puts
            if put.key == ORDERED_KEY:
                orders = decode_ordered(put.value)
                assert orders is not None
                self.recorded.append(orders.machines)
            else:
                self.written.append((put, request.expected))
            outcome = kv.Written(self.harness.now_ms())
            if self.is_write_refused:
                outcome = kv.PermanentlyRefused("refused")
        self.task.handle(kv.Reply(request.request_id, outcome))
        self.collect()


@pytest.fixture
def rig() -> Rig:
    rig = Rig()
    rig.advance(TIMES.order_separation_ms + LIST_INTERVAL_MS, host("m", "a", runs=1))
    return rig


IDLE = HostLoad("i-m", "a", 0, 0.0, 60_000, True, False, True)


def test_an_idle_machine_is_ordered_under_a_confirmed_lease(rig: Rig) -> None:
    # Guards against a rule that never lets an order pass.
    rig.advance(300, IDLE)
    order = MoveMachine("m", "off", "node", TOKEN)
    assert [sent for _, sent, _ in rig.orders] == [order]


def test_no_order_is_sent_while_the_lease_is_unconfirmed(rig: Rig) -> None:
    # Guards against the orders of a holder that cannot renew its lease: in
    # qlsc-tubeworks scale-1 --seed 156746472067, one that was cut off went on ordering
    # machines with a lower token than its successor.
    rig.is_lease_renewed = False
    rig.task.handle(DutyLost("scheduler"))
    rig.advance(3_000, IDLE)
    assert rig.orders == []


def test_no_order_outlasts_the_lease(rig: Rig) -> None:
    # Guards against an order that is still under way when a successor takes over.
    rig.is_lease_renewed = False
    rig.advance(3_000, IDLE)
    for sent_ms, _, validity in rig.orders:
        assert validity.not_after_ms <= rig.until_ms
        assert sent_ms + validity.timeout_ms <= rig.until_ms


@pytest.mark.parametrize("message", [DutyLost("scheduler"), SchedulingEnded()])
def test_an_order_in_flight_is_aborted_with_the_term(rig: Rig, message) -> None:
    # Guards against an order that waits in a connection until a partition ends.
    rig.advance(300, IDLE)
    assert rig.orders and not rig.aborted_ms
    rig.task.handle(message)
    rig.collect()
    assert rig.aborted_ms == [rig.harness.now_ms()]


def test_a_machine_that_no_holder_recorded_is_ordered_at_once() -> None:
    # Guards against a successor that orders no machine for 1.8 s: after a power loss
    # of all processes, three of five jobs of a turn of demand were late.
    rig = Rig()
    rig.predecessor = b"[]"
    rig.advance(500, IDLE)
    assert len(rig.orders) == 1


def test_a_machine_that_a_holder_recorded_waits_for_the_separation() -> None:
    # Guards against two holders that order one machine in turn.
    rig = Rig()
    wait_ms = TIMES.order_separation_ms - TIMES.move_ms
    rig.advance(wait_ms, IDLE)
    assert rig.orders == []
    rig.advance(1_000, IDLE)
    assert len(rig.orders) == 1


@pytest.mark.parametrize("value", [b"", b"{}", b"\xff"])
def test_a_record_that_cannot_be_read_covers_all_machines(value: bytes) -> None:
    # Guards against a damaged record that reads like an empty one.
    rig = Rig()
    rig.predecessor = value
    rig.advance(TIMES.order_separation_ms - TIMES.move_ms, IDLE)
    assert rig.orders == []


def test_no_machine_is_ordered_before_it_is_recorded() -> None:
    # Guards against an order that a successor cannot know of.
    rig = Rig()
    rig.predecessor = b"[]"
    rig.advance(100, IDLE)
    rig.is_store_silent = True
    rig.advance(1_000, IDLE)
    assert rig.orders == []


def test_a_refused_record_is_not_repeated_at_once() -> None:
    # Guards against a loop of writes, as fast as the store refuses them.
    rig = Rig()
    rig.predecessor = b"[]"
    rig.is_write_refused = True
    rig.advance(1_000, IDLE)
    assert rig.orders == []
    assert 1 <= len(rig.recorded) <= 1_000 / LOAD_INTERVAL_MS


def test_no_machine_is_ordered_before_the_record_is_read() -> None:
    # Guards against a term that orders machines of which it knows nothing.
    rig = Rig()
    rig.is_store_silent = True
    rig.advance(TIMES.order_separation_ms, IDLE)
    assert rig.orders == []


def test_a_machine_leaves_the_record_after_the_separation(rig: Rig) -> None:
    # Guards against a record in which every machine stays, so that a successor waits
    # for all of them.
    rig.are_orders_answered = True
    rig.advance(300, IDLE)
    assert rig.recorded[-1] == {"m"}
    rig.advance(2 * TIMES.order_separation_ms, host("m", "off", runs=1))
    assert rig.recorded[-1] == frozenset()


def test_the_first_reader_of_a_wave_stores_when_it_is_due(rig: Rig) -> None:
    # Guards against a successor that does not know for how long a wave has been going
    # on, and against one that moves the time of its predecessor.
    rig.task.handle(PrefixListed(WaveCodec.prefix, (kv.Item("op/wave/4", b"1", 3),)))
    rig.collect()
    ((put, expected), *_) = rig.written
    assert put.key == f"{MAINTAINED_PREFIX}{WAVE.number}"
    assert int(put.value) == rig.harness.clock.wall_ms() + WAVE.duration_ms
    assert expected == (kv.KeyRevision(put.key, kv.NO_REVISION),)


def test_a_successor_reads_when_a_wave_is_due(rig: Rig) -> None:
    # Guards against a stored time that is never used.
    due_wall_ms = rig.harness.clock.wall_ms() + 1_000
    stored = kv.Item(f"{MAINTAINED_PREFIX}{WAVE.number}", b"%d" % due_wall_ms, 3)
    rig.task.handle(PrefixListed(MAINTAINED_PREFIX, (stored,)))
    rig.task.handle(PrefixListed(WaveCodec.prefix, (kv.Item("op/wave/4", b"1", 3),)))
    rig.advance(100, host("m", "a", runs=1))
    assert rig.cordons[-1].urgent == {"i-m"}


@pytest.mark.parametrize("number", [0, 4])
def test_the_status_of_a_finished_wave_is_written(
    rig: Rig, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    # Guards against a wave with the number 0 that is never said to be done, since the
    # answer to the write of its first status was taken for that of no wave.
    wave = replace(WAVE, number=number)
    monkeypatch.setattr(WaveCodec, "decode", lambda codec, value: wave)
    item = kv.Item(f"op/wave/{number}", b"1", 3)
    rig.task.handle(PrefixListed(WaveCodec.prefix, (item,)))
    rig.advance(200, host("m", "a", runs=1))
    maintained = kv.Item(f"{MAINTAINED_PREFIX}{number}/m", b"1", 4)
    rig.task.handle(PrefixListed(MAINTAINED_PREFIX, (maintained,)))
    rig.advance(200, host("m", "a", runs=1))
    key = f"status/wave/{number}"
    statuses = [put.value for put, _ in rig.written if put.key == key]
    assert statuses == [b"running", b"done"]


def test_a_wave_is_done_only_in_the_value_that_was_judged(rig: Rig) -> None:
    # Guards against a wave that is said to be done (MIXED) although the operator has
    # added a machine at the same time.
    item = kv.Item("op/wave/4", b"1", 3)
    rig.task.handle(PrefixListed(WaveCodec.prefix, (item,)))
    maintained = kv.Item(f"{MAINTAINED_PREFIX}4/m", b"1", 4)
    rig.task.handle(PrefixListed(MAINTAINED_PREFIX, (maintained,)))
    rig.advance(200, host("m", "a", runs=1))
    statuses = [row for row in rig.written if row[0].key == "status/wave/4"]
    assert [put.value for put, _ in statuses] == [b"done"]
    assert statuses[0][1] == (kv.KeyRevision("op/wave/4", 3),)


@pytest.mark.parametrize("is_listed", [False, True])
def test_a_wave_that_the_operator_removes_is_dropped(rig: Rig, is_listed: bool) -> None:
    # Guards against machines that are drained for a wave which does not exist any more.
    item = kv.Item("op/wave/4", b"1", 3)
    rig.task.handle(PrefixListed(WaveCodec.prefix, (item,)))
    rig.advance(200, host("m", "a", runs=1))
    assert rig.cordons[-1].executor_ids == {"i-m"}
    removal = PrefixChanged(WaveCodec.prefix, (kv.Item("op/wave/4", None, 5),))
    rig.task.handle(PrefixListed(WaveCodec.prefix, ()) if is_listed else removal)
    rig.advance(200, host("m", "a", runs=1))
    assert rig.cordons[-1].executor_ids == frozenset()
