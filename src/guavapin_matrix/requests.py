"""The procedure `request`: from the arrival to the end of the answer."""

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
from guavapin_matrix.request_world import SUBJECT
from guavapin_matrix.request_world import RequestWorld

if TYPE_CHECKING:
    from guavapin_matrix.callers import CallerRequest

# Method and key of the subject. Without a key nothing is claimed or recorded.
VARIANTS = {"keyed": ("POST", "k"), "post": ("POST", ""), "get": ("GET", "")}
_KEYED_ONLY = (Phase.CLAIMING, Phase.RECORDED)
# These faults end or disturb no request by themselves: the subject is answered.
HARMLESS = frozenset({Fault.RACE, Fault.SAME_OBJECT})
# Moments in steps that last: the request runs, a part of the answer has come.
MOMENTS = {Phase.SENT: (0, 20), Phase.ANSWERING: (0, 15)}
AGAIN_MS = 300
LAST_REQUESTS = 4
HEAL_MS = 12_000
SETTLE_MS = 12_000
SETTLE_REQUEST_MS = 500


class Requests:
    """Runs a request with faults at one of its phases."""

    name = "request"
    pair_share = 6

    def steps(self) -> tuple[Step, ...]:
        """Return every phase of every variant that the variant can have."""
        return tuple(
            Step(self.name, phase.value, variant, delay_ms)
            for variant, (_, key) in VARIANTS.items()
            for phase in Phase
            if key or phase not in _KEYED_ONLY
            for delay_ms in MOMENTS.get(phase, (0,))
        )

    def required_steps(self) -> frozenset[str]:
        """Return every phase."""
        return frozenset(phase.value for phase in Phase)

    def run(self, cell: Cell) -> CellResult:
        """Run one cell in a world of its own."""
        return _Run(cell).result()


class _Run:
    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        self.world = RequestWorld(cell.seed)
        self.reached: set[str] = set()
        self.is_injected = False
        self.world.sim.observers.append(self._observe)

    def result(self) -> CellResult:
        """Drive the world and return what the checks say."""
        world = self.world
        self._load()
        world.sim.run(HEAL_MS)
        world.heal()
        for index in range(SETTLE_MS // SETTLE_REQUEST_MS):
            self._ask_all(f"settle{index}")
            world.sim.run(SETTLE_REQUEST_MS)
        last = len(world.callers.requests)
        for index in range(LAST_REQUESTS):
            self._ask_all(f"last{index}")
        world.sim.run(SETTLE_MS)
        violations = self._check(world.callers.requests[last:])
        reached = frozenset(self.reached)
        return CellResult(self.cell, violations, self.is_injected, reached)

    def _ask_all(self, tag: str) -> None:
        for node in self.world.nodes:
            if node.is_alive:
                self.world.callers.ask(node, f"{tag} at {node.name}")

    def _load(self) -> None:
        """Fill the slots of the first entry, then send the subject and others."""
        world, rng = self.world, random.Random(self.cell.seed)
        ask, sim = world.callers.ask, world.sim
        first, second = world.nodes
        for index in range(5):
            ask(first, f"early{index}")
        sim.run(rng.randint(5, 15))
        method, key = VARIANTS[self.cell.step.variant]
        world.subject_id = len(world.callers.requests) + 1
        ask(first, SUBJECT, method, key)
        ask(first, "charge", "POST")
        ask(first, "renewal", "POST", "r")
        ask(second, "order", "POST", "o")
        for index in range(10):
            delay_ms = 40 * index + rng.randint(0, 20)
            sim.after(delay_ms, partial(ask, world.nodes[index % 2], f"get{index}"))

    def _observe(self) -> None:
        phase = self.world.subject_phase()
        if phase is None:
            return
        self.reached.add(phase.value)
        if self.is_injected or phase.value != self.cell.step.name:
            return
        self.is_injected = True
        delay_ms = self.cell.step.delay_ms
        if delay_ms:
            self.world.sim.after(delay_ms, self._inject)
        else:
            self._inject()

    def _inject(self) -> None:
        faults = self.cell.faults
        for fault in dict.fromkeys(faults):
            self.world.inject(fault)
        if len(faults) == 2 and faults[0] is faults[1]:
            self.world.sim.after(AGAIN_MS, lambda: self.world.inject(faults[0]))

    def _check(self, last: list[CallerRequest]) -> tuple[str, ...]:
        world = self.world
        callers, upstreams = world.callers, world.upstreams
        served = list(last)
        if HARMLESS.issuperset(self.cell.faults):
            served.append(callers.requests[world.subject_id - 1])
        return (
            *checks.check_answers(callers),
            *checks.check_ends(callers, world.pauses),
            *checks.check_not_run(callers, upstreams),
            *checks.check_at_most_once(callers, upstreams),
            *checks.check_leaving(upstreams),
            *checks.check_served(served),
        )
