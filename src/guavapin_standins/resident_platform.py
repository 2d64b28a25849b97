"""The users' platform on one port: store, executors, machines and operator.

Executors share the addresses that the stand-in was given; a header of the request names
the intended executor. Requests to addresses of their own come over `ExecutorRelayTask`.
`SetStoreDown` makes the store refuse every call, and `SetAnswersLost` makes it apply
transactions without answering them.
"""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs

from guavapin.kernel import Call
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.serving.request_handler import RequestHandler
from guavapin_standins.resident_executor import ResidentExecutor
from guavapin_standins.resident_executor import RunEvent
from guavapin_standins.resident_relay import RelayedAnswer
from guavapin_standins.resident_relay import RelayedRequest
from guavapin_standins.resident_store import ResidentStore

if TYPE_CHECKING:
    from guavapin.kernel.task import TaskContext
    from guavapin.serving.request_handler import WholeRequest

# Largest delay of the end of a run and of an answer to a pending request.
POLL_INTERVAL_MS = 20

# Interval at which executors renew their registrations.
REGISTRATION_INTERVAL_MS = 500

MOVE_DURATION_MS = 300

# The pool whose machines are off; they have no executors.
STANDBY_POOL = "off"

MOVE_ORDER = "machine-move"
MAINTENANCE_ORDER = "machine-upkeep"

DUTY_KEY = "duty/scheduler"

# One core is 1,000. A machine holds eight subtasks of half a core.
MACHINE_CAPACITY = {"cpu": 4_000, "mem-mb": 8_000, "gpus": 0}


@dataclass(frozen=True, slots=True)
class StandInPool:
    """A pool with its machines at the start, and the run time of its subtasks."""

    name: str
    machines: int
    work_ms: int


@dataclass(frozen=True, slots=True)
class MachineEvent:
    """An order that was carried out, or the start of a machine, as kind ``start``.

    The machine belongs to `pool` from `at_ms` on, and is up from `up_ms` on.
    """

    kind: str
    machine: str
    pool: str
    at_ms: int
    up_ms: int


@dataclass(frozen=True, slots=True)
class SetStoreDown:
    """As a `Call`: make the store refuse every call, or answer again."""

    is_down: bool


@dataclass(frozen=True, slots=True)
class SetAnswersLost:
    """As a `Call`: apply transactions without an answer, or answer them again."""

    is_lost: bool


@dataclass(frozen=True, slots=True)
class PutItem:
    """As a `Call`: write an item as the operator."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class RemoveItem:
    """As a `Call`: remove an item as the operator, if it exists."""

    key: str


@dataclass(frozen=True, slots=True)
class QueryPlatform:
    """As a `Call`: the reply is `PlatformView`."""


@dataclass(frozen=True, slots=True)
class PlatformView:
    """Events of runs and of machines, each in order, and statuses of waves.

    `duty_holder` is the name under which a process holds the duty, "" if none does.
    """

    log: tuple[RunEvent, ...]
    statuses: dict[str, str]
    machine_events: tuple[MachineEvent, ...]
    duty_holder: str

    @property
    def orders(self) -> tuple[tuple[str, str], ...]:
        """Return the kind and the machine of each order that was carried out."""
        return tuple(
            (event.kind, event.machine)
            for event in self.machine_events
            if event.kind != "start"
        )


@dataclass(frozen=True, slots=True)
class _Poll:
    """Timer: advance the machines and answer pending requests."""


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A watch or a hold that is answered at a change or at `until_ms`.

    `relay` is the service that passed the request on, "" for the own front.
    """

    req: WholeRequest
    relay: str
    until_ms: int


class ResidentPlatformTask(RequestHandler):
    """Service ``resident_platform`` behind the listener ``platform_front``."""

    name = "resident_platform"

    def __init__(
        self, pools: tuple[StandInPool, ...], addresses: tuple[str, ...]
    ) -> None:
        super().__init__("platform_front")
        self.store = ResidentStore()
        # The addresses in registrations; machines take them in turn. They may be
        # changed before the first request.
        self.addresses = addresses
        self._log: list[RunEvent] = []
        self._machine_events: list[MachineEvent] = []
        self._work_ms = {pool.name: pool.work_ms for pool in pools}
        # Machine to (pool, executor, time in ms from which it is up).
        self._machines: dict[str, tuple[str, str, int]] = {
            f"m-{number}": (pool, f"i-{number}", 0)
            for number, pool in enumerate(
                pool.name for pool in pools for _ in range(pool.machines)
            )
        }
        self._executors: dict[str, ResidentExecutor] = {}
        self._incarnations = len(self._machines)
        self._pending: list[_PendingRequest] = []
        self._is_down = False
        self._are_answers_lost = False
        self._next_registration_ms = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Start the executors."""
        self._context = context
        now_ms = context.now_ms()
        self._machine_events = [
            MachineEvent("start", machine, pool, now_ms, now_ms)
            for machine, (pool, _, _) in self._machines.items()
        ]
        self._poll()
        return Ok(None)

    def stop(self) -> None:
        """Drop the pending requests."""
        self._pending.clear()

    def handle(self, message: object) -> None:
        """Handle a request, a timer or a test control."""
        match message:
            case _Poll():
                self._poll()
            case RelayedRequest(reply_to=relay, req=req):
                self._answer_or_hold(req, relay)
            case Call(body=SetStoreDown(is_down=is_down), fut=fut):
                self._is_down = is_down
                fut.set_result(Ok(None))
            case Call(body=SetAnswersLost(is_lost=is_lost), fut=fut):
                self._are_answers_lost = is_lost
                fut.set_result(Ok(None))
            case Call(body=PutItem(key=key, value=value), fut=fut):
                self.store.put(key, value)
                fut.set_result(Ok(None))
            case Call(body=RemoveItem(key=key), fut=fut):
                self.store.remove(key)
                fut.set_result(Ok(None))
            case Call(body=QueryPlatform(), fut=fut):
                fut.set_result(self._view())
            case _:
                if not self.handle_front_message(message):
                    raise InvariantError(f"{self.name}: unexpected {message!r}")

    def handle_request(self, req: WholeRequest) -> None:
        """Answer a call at once, or when its wait ends."""
        self._answer_or_hold(req, "")

    def _answer_or_hold(self, req: WholeRequest, relay: str) -> None:
        wait_ms = self._wait_ms(req)
        outcome = self._compute_answer(req)
        if self._are_answers_lost and req.target.endswith("/kv-txn"):
            return
        if outcome is None or (wait_ms and not self._has_changes(outcome[1])):
            until_ms = self._context.now_ms() + wait_ms
            self._pending.append(_PendingRequest(req, relay, until_ms))
        else:
            self._reply(req, relay, *outcome)

    def _poll(self) -> None:
        now_ms = self._context.now_ms()
        self.store.expire(now_ms)
        self._advance_machines(now_ms)
        pending, self._pending = self._pending, []
        for pending_req in pending:
            outcome = self._compute_answer(pending_req.req)
            if outcome and (
                now_ms >= pending_req.until_ms or self._has_changes(outcome[1])
            ):
                self._reply(pending_req.req, pending_req.relay, *outcome)
            else:
                self._pending.append(pending_req)
        self._context.set_timer(POLL_INTERVAL_MS, _Poll())

    def _advance_machines(self, now_ms: int) -> None:
        for machine, (pool, executor_id, up_ms) in self._machines.items():
            if (
                now_ms >= up_ms
                and executor_id not in self._executors
                and (pool != STANDBY_POOL)
            ):
                self._executors[executor_id] = ResidentExecutor(
                    executor_id, pool, now_ms, self._work_ms[pool], self._log
                )
                self._register(self._executors[executor_id], machine, now_ms)
        for executor in self._executors.values():
            executor.advance(now_ms)
        if now_ms >= self._next_registration_ms:
            self._next_registration_ms = now_ms + REGISTRATION_INTERVAL_MS
            for machine, (_, executor_id, _) in self._machines.items():
                if executor_id in self._executors:
                    self._register(self._executors[executor_id], machine, now_ms)

    def _register(self, executor: ResidentExecutor, machine: str, now_ms: int) -> None:
        entry = {
            "service": executor.service,
            "address": self._address_of(machine),
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "capacity": MACHINE_CAPACITY,
            "labels": ["a", f"r-{machine}"],
            "clock-ms": now_ms,
            "born": executor.born_ms,
        }
        key = f"servers/{executor.executor_id}"
        self.store.put(key, json.dumps(entry).encode())

    def _address_of(self, machine: str) -> str:
        number = int(machine.removeprefix("m-"))
        return self.addresses[number % len(self.addresses)]

    def _compute_answer(self, req: WholeRequest) -> tuple[int, dict[str, Any]] | None:
        path, _, query = req.target.partition("?")
        name = path.removeprefix("/guavapin/")
        body = json.loads(req.body) if req.body else {}
        now_ms = self._context.now_ms()
        if name.startswith("kv-"):
            if self._is_down:
                return 503, {}
            return self._call_store(name, parse_qs(query), body, now_ms)
        if name == "machines":
            return 200, {"machines": self._list_machines(now_ms), "next-token": None}
        if name.startswith("machine-"):
            return self._order_machine(name, body, now_ms)
        executor = self._executors.get(req.header(b"x-expect-instance"))
        if executor is None:
            return 421, {}
        return executor.call(path, body, now_ms)

    def _call_store(
        self, name: str, query: dict[str, list[str]], body: dict[str, Any], now_ms: int
    ) -> tuple[int, dict[str, Any]]:
        store = self.store
        prefix = query.get("prefix", [""])[0]
        if name == "kv-key":
            item = store.items.get(query["key"][0])
            return (200, item.encode()) if item else (404, {})
        if name == "kv-range":
            rows = [i.encode() for k, i in store.items.items() if k.startswith(prefix)]
            answer = {"items": rows, "more-pages": False}
            return 200, {**answer, "current-rev": store.revision}
        if name == "kv-watch":
            events = store.events(prefix, int(query["after"][0]))
            return 200, {"events": events, "current-rev": store.revision}
        if name == "kv-txn":
            return store.transact(body)
        if name == "kv-lease":
            lease = store.grant(body["ttl-ms"], now_ms)
            return 200, {"lease": lease, "ttl-ms": body["ttl-ms"]}
        lease = int(name.rpartition("/")[2])
        if name.startswith("kv-keep/"):
            ttl_ms = store.renew(lease, now_ms)
            return (200, {"ttl-ms": ttl_ms}) if ttl_ms else (404, {})
        store.end_lease(lease)
        return 200, {"revision": store.revision}

    def _list_machines(self, now_ms: int) -> list[dict[str, Any]]:
        return [
            {
                "machine": machine,
                "pool": pool,
                "state": "up" if now_ms >= up_ms else "moving",
                "zone": "z",
                "labels": ["a", f"r-{machine}"],
                "capacity": MACHINE_CAPACITY,
                "id": executor_id if executor_id in self._executors else None,
            }
            for machine, (pool, executor_id, up_ms) in self._machines.items()
        ]

    def _order_machine(
        self, name: str, body: dict[str, Any], now_ms: int
    ) -> tuple[int, dict[str, Any]]:
        machine = body["machine"]
        pool, executor_id, up_ms = self._machines[machine]
        if now_ms < up_ms:
            return 409, {"reason": "busy"}
        if name == MAINTENANCE_ORDER and self._is_maintained(machine):
            return 200, {}
        removed = self._executors.pop(executor_id, None)
        if removed is not None:
            removed.leave(now_ms)
            self.store.remove(f"servers/{executor_id}")
        self._incarnations += 1
        new_pool, up_ms = body.get("pool", pool), now_ms + MOVE_DURATION_MS
        self._machines[machine] = (new_pool, f"i-{self._incarnations}", up_ms)
        self._machine_events.append(
            MachineEvent(name, machine, new_pool, now_ms, up_ms)
        )
        return 200, {}

    def _is_maintained(self, machine: str) -> bool:
        return any(
            event.kind == MAINTENANCE_ORDER and event.machine == machine
            for event in self._machine_events
        )

    def _wait_ms(self, req: WholeRequest) -> int:
        if "kv-watch" in req.target:
            query = parse_qs(req.target.partition("?")[2])
            return int(query.get("wait-ms", ["0"])[0])
        if req.target.endswith("/hold"):
            return int(json.loads(req.body).get("wait-ms", 0))
        return 0

    def _has_changes(self, answer: dict[str, Any]) -> bool:
        if "running" in answer:
            return bool(answer["finished"])
        return bool(answer.get("events")) or "events" not in answer

    def _reply(
        self, req: WholeRequest, relay: str, status: int, body: dict[str, Any]
    ) -> None:
        headers = ((b"content-type", b"application/json"),)
        text = json.dumps(body).encode()
        if relay:
            answer = RelayedAnswer(req.request_id, status, headers, text)
            self._context.send(relay, answer)
        else:
            self.answer(req.request_id, status, headers, text)

    def _view(self) -> PlatformView:
        statuses = {
            key: item.value
            for key, item in self.store.items.items()
            if key.startswith("status/")
        }
        duty = self.store.items.get(DUTY_KEY)
        return PlatformView(
            tuple(self._log),
            statuses,
            tuple(self._machine_events),
            base64.b64decode(duty.value).decode() if duty else "",
        )
