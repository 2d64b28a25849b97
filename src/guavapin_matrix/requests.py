"""The procedure `request`: from the arrival of a request to the end of its answer."""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

from guavapin.serving.exchange import Phase
from guavapin_matrix import request_checks as checks
from guavapin_matrix.cell import Cell
from guavapin_matrix.cell import CellResult
from guavapin_matrix.cell import Step
from guavapin_matrix.faults import Fault
from guavapin_matrix.request_simulation import SUBJECT
from guavapin_matrix.request_simulation import RequestSimulation

if TYPE_CHECKING:
    from guavapin_matrix.callers import CallerRequest

# Method and idempotency key of the subject. A request without a key is neither claimed
# nor recorded.
VARIANTS = {"keyed": ("POST", "k"), "post": ("POST", ""), "get": ("GET", "")}
_KEYED_ONLY = (Phase.CLAIMING, Phase.RECORDED)
# These faults alone must not fail a request, so the subject must be answered.
HARMLESS = frozenset({Fault.RACE, Fault.SAME_OBJECT})
# Delays in ms into the longer phases: while the request runs, and after a part of the
# answer has arrived.
MOMENTS = {Phase.SENT: (0, 20), Phase.ANSWERING: (0, 15)}
SECOND_FAULT_DELAY_MS = 300
LAST_REQUESTS = 4
HEAL_AFTER_MS = 12_000
SETTLE_MS = 12_000
SETTLE_REQUEST_MS = 500


class Requests:
    """Runs a request and injects faults at one of its phases."""

    name = "request"
    pair_divisor = 6

    def steps(self) -> tuple[Step, ...]:
        """Return every phase of every variant that the variant goes through."""
        return tuple(
            Step(self.name, phase.value, variant, delay_ms)
            for variant, (_, key) in VARIANTS.items()
            for phase in Phase
            if key or phase not in _KEYED_ONLY
            for delay_ms in MOMENTS.get(phase, (0,))
        )

    def required_steps(self) -> frozenset[str]:
        """Return the values of all phases."""
        return frozenset(phase.value for phase in Phase)

    def run(self, cell: Cell) -> CellResult:
        """Run one cell in a simulation of its own."""
        return _CellRun(cell).result()


class _CellRun:
    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        self.sim = RequestSimulation(cell.seed)
        self.reached: set[str] = set()
        self.is_injected = False
        self.sim.loop.observers.append(self._observe)

    def result(self) -> CellResult:
        """Run the simulation and return the result of the checks."""
        sim = self.sim
        self._send_requests()
        sim.loop.run(HEAL_AFTER_MS)
        sim.heal()
        for index in range(SETTLE_MS // SETTLE_REQUEST_MS):
            self._ask_all(f"settle{index}")
            sim.loop.run(SETTLE_REQUEST_MS)
        last = len(sim.callers.requests)
        for index in range(LAST_REQUESTS):
            self._ask_all(f"last{index}")
        sim.loop.run(SETTLE_MS)
        violations = self._check(sim.callers.requests[last:])
        reached = frozenset(self.reached)
        return CellResult(self.cell, violations, self.is_injected, reached)

    def _ask_all(self, tag: str) -> None:
        for node in self.sim.nodes:
            if node.is_alive:
                self.sim.callers.ask(node, f"{tag} at {node.name}")

    def _send_requests(self) -> None:
        """Fill the slots of the first entry, then send the subject and others."""
        sim, rng = self.sim, random.Random(self.cell.seed)
        ask, loop = sim.callers.ask, sim.loop
        first, second = sim.nodes
        for index in range(5):
            ask(first, f"early{index}")
        loop.run(rng.randint(5, 15))
        method, key = VARIANTS[self.cell.step.variant]
        sim.subject_id = len(sim.callers.requests) + 1
        ask(first, SUBJECT, method, key)
        ask(first, "charge", "POST")
        ask(first, "renewal", "POST", "r")
        ask(second, "order", "POST", "o")
        for index in range(10):
            delay_ms = 40 * index + rng.randint(0, 20)
            loop.after(delay_ms, partial(ask, sim.nodes[index % 2], f"get{index}"))

    def _observe(self) -> None:
        phase = self.sim.subject_phase()
        if phase is None:
            return
        self.reached.add(phase.value)
        if self.is_injected or phase.value != self.cell.step.name:
            return
        self.is_injected = True
        delay_ms = self.cell.step.delay_ms
        if delay_ms:
            self.sim.loop.after(delay_ms, self._inject)
        else:
            self._inject()

    def _inject(self) -> None:
        faults = self.cell.faults
        for fault in dict.fromkeys(faults):
            self.sim.inject(fault)
        if len(faults) == 2 and faults[0] is faults[1]:
            self.sim.loop.after(
                SECOND_FAULT_DELAY_MS, lambda: self.sim.inject(faults[0])
            )

    def _check(self, last: list[CallerRequest]) -> tuple[str, ...]:
        sim = self.sim
        callers, upstreams = sim.callers, sim.upstreams
        served = list(last)
        if HARMLESS.issuperset(self.cell.faults):
            served.append(callers.requests[sim.subject_id - 1])
        return (
            *checks.check_answers(callers),
            *checks.check_ends(callers, sim.pauses),
            *checks.check_not_run(callers, upstreams),
            *checks.check_at_most_once(callers, upstreams),
            *checks.check_leaving(upstreams),
            *checks.check_served(served),
        )
