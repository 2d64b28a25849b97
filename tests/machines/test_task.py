"""Machines are ordered only under a lease that outlasts the order."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from guavapin.duties.messages import DutyHeld
from guavapin.duties.messages import DutyLost
from guavapin.http.messages import AbortCalls
from guavapin.http.messages import PeerReply
from guavapin.http.messages import Unanswered
from guavapin.kernel.harness import TaskHarness
from guavapin.machines.model import ListMachines
from guavapin.machines.model import MachinePage
from guavapin.machines.model import MoveMachine
from guavapin.machines.task import LIST_INTERVAL_MS
from guavapin.machines.task import MachinesTask
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
TOKEN = 3


class EchoCodec:
    """Sends an order as it is; the answer to every list is one idle machine."""

    def encode(
        self, reply_to: str, request_id: int, order: MachineOrder, validity: Validity
    ) -> tuple[int, MachineOrder, Validity]:
        return request_id, order, validity

    def decode(self, order: MachineOrder, outcome: CallOutcome) -> MachineOutcome:
        return MachinePage((machine("m", "a"),), "")


class WaveCodec:
    """No waves exist."""

    prefix = "op/wave/"


class Rig:
    """A `MachinesTask` whose lease is renewed while `is_lease_renewed` is set."""

    def __init__(self) -> None:
        task = MachinesTask(EchoCodec(), WaveCodec(), TIMES, "node")
        self.task, self.harness = task, TaskHarness(task, 10_000)
        self.harness.start()
        task.handle(QueueTableChanged(TABLE))
        self.is_lease_renewed = True
        self.until_ms = 0
        # Time of sending, order and validity.
        self.orders: list[tuple[int, MachineOrder, Validity]] = []
        self.aborted_ms: list[int] = []

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
        """Record the orders and aborts that were sent, and answer the lists."""
        for sent in self.harness.take_sent():
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
