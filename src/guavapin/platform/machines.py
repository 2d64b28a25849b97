"""Codec of the platform's list of machines and of the orders for them."""

from __future__ import annotations

from urllib.parse import quote

import msgspec

from guavapin.http.messages import Answered
from guavapin.http.messages import CallOutcome
from guavapin.http.messages import PeerCall
from guavapin.machines.model import ListMachines
from guavapin.machines.model import Machine
from guavapin.machines.model import MachineOrder
from guavapin.machines.model import MachineOutcome
from guavapin.machines.model import MachinePage
from guavapin.machines.model import MachineState
from guavapin.machines.model import MaintainMachine
from guavapin.machines.model import MoveMachine
from guavapin.machines.model import OrderDone
from guavapin.machines.model import OrderRefusal
from guavapin.machines.model import OrderRefused
from guavapin.machines.model import OrderUnanswered
from guavapin.machines.model import Validity
from guavapin.platform.bodies import decode_body
from guavapin.platform.bodies import encode_body
from guavapin.platform.executors import JSON_HEADER
from guavapin.platform.manifest import Capacity
from guavapin.platform.manifest import rack_of

_STATES = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.IN_MAINTENANCE,
    "down": MachineState.DOWN,
}

_REFUSAL_KINDS = {
    "fence": OrderRefusal.FENCED,
    "busy": OrderRefusal.BUSY,
    "wave": OrderRefusal.NOT_IN_WAVE,
}


class _Machine(msgspec.Struct, rename="kebab", frozen=True):
    machine: str
    pool: str
    state: str
    zone: str = ""
    labels: list[str] = []
    capacity: Capacity = Capacity()
    # Id of the executor on the machine, not of the machine.
    id: str | None = None


class _Page(msgspec.Struct, rename="kebab", frozen=True):
    machines: list[_Machine] = []
    next_token: str | None = None


class _Refusal(msgspec.Struct, frozen=True):
    reason: str = ""


class PlatformMachineCodec:
    """Translates machine orders to HTTP calls of the platform; never raises."""

    def __init__(self, address: str) -> None:
        self._address = address

    def encode(
        self, reply_to: str, request_id: int, order: MachineOrder, validity: Validity
    ) -> PeerCall:
        """Return the HTTP call that carries an order."""
        method, path, body = "POST", "/guavapin/machine-move", b""
        headers: tuple[tuple[str, str], ...] = (JSON_HEADER,)
        match order:
            case ListMachines(page=page):
                method, path = "GET", "/guavapin/machines"
                path += f"?page-token={quote(page, safe='')}" if page else ""
            case MoveMachine(machine=machine, pool=pool):
                body = encode_body({"machine": machine, "pool": pool})
            case MaintainMachine(machine=machine, wave=wave):
                path = "/guavapin/machine-upkeep"
                body = encode_body({"machine": machine, "phase": wave})
        if not isinstance(order, ListMachines):
            fence = ("X-Fencing-Token", str(order.token))
            headers = (*headers, ("X-Duty-Holder", order.holder), fence)
        return PeerCall(
            reply_to,
            request_id,
            self._address,
            method,
            path,
            body,
            validity.timeout_ms,
            headers,
            validity.not_after_ms,
        )

    def decode(self, order: MachineOrder, outcome: CallOutcome) -> MachineOutcome:
        """Return the outcome of an order; an unreadable answer is `OrderUnanswered`."""
        if not isinstance(outcome, Answered):
            return OrderUnanswered(outcome.was_sent)
        if outcome.status == 200:
            if not isinstance(order, ListMachines):
                return OrderDone()
            page = decode_body(outcome.body, _Page)
            return OrderUnanswered(True) if page is None else _decode_page(page)
        if outcome.status == 409:
            refusal = decode_body(outcome.body, _Refusal) or _Refusal()
            kind = _REFUSAL_KINDS.get(refusal.reason, OrderRefusal.BUSY)
            return OrderRefused(kind)
        if outcome.status == 429:
            return OrderRefused(OrderRefusal.RATE_LIMITED)
        if outcome.status == 503:
            return OrderRefused(OrderRefusal.UNAVAILABLE)
        if outcome.status == 400:
            return OrderRefused(OrderRefusal.MALFORMED)
        return OrderUnanswered(True)


def _decode_page(page: _Page) -> MachinePage:
    machines = tuple(
        Machine(
            name=row.machine,
            pool=row.pool,
            state=_STATES.get(row.state, MachineState.DOWN),
            zone=row.zone,
            rack=rack_of(row.labels),
            capacity=row.capacity.to_resources(),
            executor_id=row.id or "",
        )
        for row in page.machines
    )
    return MachinePage(machines, page.next_token or "")
