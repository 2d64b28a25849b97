"""Control processes that share a platform double; tests script the host steps."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Any

from guavapin.duties.fleet_duty import FleetDutyTask
from guavapin.duties.host_actions import ServiceHostActions
from guavapin.duties.messages import HostStep
from guavapin.duties.messages import HostStepDone
from guavapin.duties.messages import PerformHostStep
from guavapin.duties.task import DutyTask
from guavapin.fleet.codec import decode_fleet
from guavapin.fleet.codec import encode_fleet
from guavapin.fleet.messages import Execute
from guavapin.fleet.messages import Executed
from guavapin.fleet.messages import ObjectsUpdate
from guavapin.fleet.state import FLEET_KEY
from guavapin.fleet.state import FleetState
from guavapin.fleet.writer import FleetWriterTask
from guavapin.kernel import Ok
from guavapin.kernel import Outcome
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue import messages as platform
from tests.fleet.builders import command
from tests.fleet.builders import placed
from tests.fleet.platform_double import PlatformDouble

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.fleet.actions import FleetAction
    from guavapin.objects.model import ObjectSet


class Process:
    """One `guavapin-control` process: the lease, the duty and the writer.

    While `is_paused`, it gets no timers, messages or answers.
    """

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.cluster = cluster
        self.duty = FleetDutyTask(ServiceHostActions(), name)
        self.lease = DutyTask("fleet", name, ("fleet_duty",), seed=len(name))
        self.writer = FleetWriterTask()
        self.is_paused = False
        self.missed_ms = 0
        self.queue: deque[tuple[str, object]] = deque()
        self.harnesses = {
            task.name: (task, TaskHarness(task))
            for task in (self.writer, self.duty, self.lease)
        }
        for _, harness in self.harnesses.values():
            harness.start()
        for service in ("fleet_writer", "fleet_duty"):
            self.deliver(service, ObjectsUpdate(cluster.objects, 1))

    def deliver(self, service: str, message: object) -> None:
        self.queue.append((service, message))

    def advance(self, milliseconds: int) -> None:
        if self.is_paused:
            self.missed_ms += milliseconds
            return
        milliseconds, self.missed_ms = milliseconds + self.missed_ms, 0
        for _, harness in self.harnesses.values():
            harness.clock.advance(milliseconds - 1)
        for _, harness in self.harnesses.values():
            harness.advance(1)
        self.pump()

    def pump(self) -> None:
        while not self.is_paused:
            self._collect()
            if not self.queue:
                return
            service, message = self.queue.popleft()
            self.cluster.trace(self, service, message)
            if self.is_paused:
                self.queue.appendleft((service, message))
                return
            self._route(service, message)

    def _collect(self) -> None:
        for name, (_, harness) in self.harnesses.items():
            for sent in harness.take_sent():
                message: Any = sent.message
                if sent.service == "platform":
                    message = (name, message)
                self.queue.append((sent.service, message))

    def _route(self, service: str, message: Any) -> None:
        if service == "platform":
            sender, request = message
            outcome = self.cluster.double.answer(request)
            reply = platform.Reply(request.request_id, outcome)
            self.harnesses[sender][0].handle(reply)
        elif service == "host_actions":
            self.cluster.perform_step(self, message)
        elif service == "operators":
            self.cluster.answers.append(message)
        else:
            self.harnesses[service][0].handle(message)


class Cluster:
    """Platform, hosts and processes.

    The (host, step) pairs in `failing` fail; those in `silent` get no answer.
    """

    def __init__(self, objects: ObjectSet, processes: int = 1) -> None:
        self.objects = objects
        self.double = PlatformDouble()
        self.double.hosts = dict.fromkeys(objects.hosts, "live")
        self.store(placed(objects))
        self.steps: list[PerformHostStep] = []
        self.failing: set[tuple[str, HostStep]] = set()
        self.silent: set[tuple[str, HostStep]] = set()
        self.answers: list[Executed] = []
        self.on_message: Callable[[Process, str, object], None] | None = None
        self.max_disrupted: dict[str, int] = {}
        self.processes: list[Process] = []
        for index in range(processes):
            self.processes.append(Process(self, f"control-{index}"))

    def store(self, state: FleetState) -> None:
        self.double.revision += 1
        self.double.keys[FLEET_KEY] = (encode_fleet(state), self.double.revision)

    @property
    def state(self) -> FleetState:
        outcome = decode_fleet(self.double.keys[FLEET_KEY][0])
        assert isinstance(outcome, Ok)
        return outcome.value

    @property
    def holder(self) -> Process | None:
        active = [p for p in self.processes if not p.is_paused and p.duty.is_active]
        assert len(active) <= 1, "two processes act as holder of the duty"
        return active[0] if active else None

    def trace(self, process: Process, service: str, message: object) -> None:
        if self.on_message is not None:
            self.on_message(process, service, message)

    def perform_step(self, process: Process, step: PerformHostStep) -> None:
        self.steps.append(step)
        if (step.host, step.step) in self.silent:
            return
        is_ok = (step.host, step.step) not in self.failing
        process.deliver("fleet_duty", HostStepDone(step.step_id, is_ok, "scripted"))

    def run(self, milliseconds: int, step_ms: int = 500) -> None:
        for _ in range(milliseconds // step_ms):
            for process in self.processes:
                process.advance(step_ms)
            self._record_disrupted()

    def operate(self, action: FleetAction) -> Outcome[Any]:
        """Execute an operator's command in the last process and return its outcome."""
        process = self.processes[-1]
        process.deliver("fleet_writer", Execute("operators", 1, command(action)))
        process.pump()
        return self.answers.pop().outcome

    def lapse_leases(self) -> None:
        for lease_id in list(self.double.leases):
            self.double.lapse(lease_id)

    def _record_disrupted(self) -> None:
        for pool in self.objects.pools:
            count = sum(i.pool == pool for i in self.state.disruptions.values())
            self.max_disrupted[pool] = max(self.max_disrupted.get(pool, 0), count)


def check_audit_trail(state: FleetState) -> None:
    """Check that audit entries have no gap and no command was applied twice."""
    sequences = [entry.sequence for entry in state.outbox]
    assert sequences == list(range(1, len(sequences) + 1))
    ids = [entry.command_id for entry in state.outbox]
    assert len(set(ids)) == len(ids)
