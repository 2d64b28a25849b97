"""Checks on the history of the records that the platform stored during a run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from itertools import pairwise
from typing import TYPE_CHECKING

from guavapin.fleet.budget import required_available
from guavapin.objects.fields import IntegerRule
from guavapin.objects.fields import NameRule
from guavapin_scenarios.kinds import KindSpec

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavapin.fleet.state import AuditEntry
    from guavapin.fleet.state import FleetState
    from guavapin_scenarios.protocols import Evidence


@dataclass(frozen=True, slots=True)
class BudgetsKept:
    """Planned disruptions never take more of a pool than its budget allows.

    As in the product's own rule, a host counts as out until its disruption has ended.
    Hosts lost without a plan do not count: the evidence does not record them.
    """

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the first violation of each pool's budget."""
        found: dict[str, str] = {}
        for state in evidence.fleet_history:
            for pool, fault in _broken_budgets(evidence, state):
                found.setdefault(pool, fault)
        return tuple(found.values())


@dataclass(frozen=True, slots=True)
class FenceKept:
    """The fence never decreases, and only the process that raised it last acts."""

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return each decrease, and each action of a process without the duty."""
        faults = [
            f"the fence fell from {old.fence} to {new.fence}"
            for old, new in pairwise(evidence.fleet_history)
            if new.fence < old.fence
        ]
        holder = ""
        for entry in _entries(evidence):
            if entry.action == "fence.raise":
                holder = entry.actor
            elif entry.actor.startswith("control/") and entry.actor != holder:
                faults.append(f"{entry.action} by {entry.actor}; {holder} had the duty")
        return tuple(faults)


@dataclass(frozen=True, slots=True)
class AuditComplete:
    """Every change has an audit entry, either archived or still in the outbox."""

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the gaps in the sequence numbers of the entries."""
        last = evidence.fleet_history[-1]
        kept = evidence.platform_audit | {item.sequence for item in last.outbox}
        missing = sorted(set(range(1, last.next_sequence)) - kept)
        return (f"no audit entry has the sequence {missing[:10]}",) if missing else ()


@dataclass(frozen=True, slots=True)
class GenerationsIncrease:
    """The generation never decreases, at the platform or at an entry process."""

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return every generation that did not increase."""
        falls = [
            f"the platform's generation fell from {old} to {new}"
            for old, new in pairwise(evidence.generations)
            if new <= old
        ]
        return (*falls, *evidence.reverted)


@dataclass(frozen=True, slots=True)
class Generation:
    """The platform holds this generation at the end."""

    generation: int

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the generation of the last head if it is another one."""
        last = evidence.generations[-1]
        if last == self.generation:
            return ()
        return (f"generation {last}; expected {self.generation}",)


@dataclass(frozen=True, slots=True)
class PlannedStopsGraceful:
    """No planned reboot interrupts a request in progress."""

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the reboots that interrupted requests."""
        return evidence.cut_off


@dataclass(frozen=True, slots=True)
class NoWaveHostAfterStop:
    """A wave begins with no further host after it has stopped."""

    wave: str

    def find_violations(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the hosts that the wave began with after its stop."""
        is_stopped, faults = False, []
        for entry in _entries(evidence):
            if entry.object == self.wave and entry.action.startswith("wave."):
                is_stopped = entry.action == "wave.stop"
            is_start = entry.action == "wave.host.start"
            if is_stopped and is_start and entry.new.endswith(f"by {self.wave}"):
                faults.append(f"{entry.object} was begun after the stop")
        return tuple(faults)


def _broken_budgets(evidence: Evidence, state: FleetState) -> Iterator[tuple[str, str]]:
    objects = evidence.objects
    sizes = Counter(state.placements.values())
    out = Counter(state.placements.get(host, "") for host in state.disruptions)
    for name, count in out.items():
        pool = objects.pools.get(name)
        budget = objects.budgets.get(pool.budget) if pool is not None else None
        if budget is None:
            continue
        required = required_available(budget, sizes[name])
        if sizes[name] - count < required:
            hosts = sorted(h for h, i in state.disruptions.items() if i.pool == name)
            yield name, f"{name}: {hosts} are out; {required} must stay available"
        yield from _broken_racks(evidence, state, name, budget.max_down_per_rack)


def _broken_racks(
    evidence: Evidence, state: FleetState, pool: str, limit: int
) -> Iterator[tuple[str, str]]:
    hosts = evidence.objects.hosts
    racks = Counter(
        hosts[host].rack
        for host, item in state.disruptions.items()
        if item.pool == pool and host in hosts
    )
    for rack, count in racks.items():
        if limit and count > limit:
            yield pool, f"{pool}: {count} hosts of rack {rack} are out; at most {limit}"


def _entries(evidence: Evidence) -> Iterator[AuditEntry]:
    """Return each audit entry once, in order of sequence.

    An entry stays in the outbox until it is archived, so it occurs in many states.
    """
    seen = 0
    for state in evidence.fleet_history:
        for entry in state.outbox:
            if entry.sequence > seen:
                seen = entry.sequence
                yield entry


FLEET_CHECKS = {
    "budgets held": KindSpec(BudgetsKept),
    "only the holder of the duty acted": KindSpec(FenceKept),
    "the audit is complete": KindSpec(AuditComplete),
    "no configuration reverted": KindSpec(GenerationsIncrease),
    "planned stops interrupted no request": KindSpec(PlannedStopsGraceful),
    "generation is": KindSpec(
        Generation, {"generation": IntegerRule(1, 1_000)}, frozenset({"generation"})
    ),
    "no host was begun after the wave stopped": KindSpec(
        NoWaveHostAfterStop, {"wave": NameRule()}, frozenset({"wave"})
    ),
}
