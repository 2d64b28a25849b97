"""Checks of all values that the platform held during a run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from itertools import pairwise
from typing import TYPE_CHECKING

from guavapin.fleet.budget import required_available
from guavapin.objects.fields import IntegerRule
from guavapin.objects.fields import NameRule
from guavapin_scenarios.kinds import StepKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavapin.fleet.state import AuditEntry
    from guavapin.fleet.state import FleetState
    from guavapin_scenarios.protocols import Evidence


@dataclass(frozen=True, slots=True)
class BudgetsHeld:
    """At no time did planned disruptions take more of a pool than its budget allows.

    A host counts as out until its disruption has ended, as in the product's own rule;
    hosts lost without a plan are not known here.
    """

    def faults(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the first state of each pool that breaks its budget."""
        found: dict[str, str] = {}
        for state in evidence.fleet_history:
            for pool, fault in _broken_budgets(evidence, state):
                found.setdefault(pool, fault)
        return tuple(found.values())


@dataclass(frozen=True, slots=True)
class FenceHeld:
    """The fence never falls, and only who raised it last acts for the duty."""

    def faults(self, evidence: Evidence) -> tuple[str, ...]:
        """Follow the audit entries of the duty."""
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
    """Every change has its audit entry, without gaps, archived or in the outbox."""

    def faults(self, evidence: Evidence) -> tuple[str, ...]:
        """Compare the numbers of the entries."""
        last = evidence.fleet_history[-1]
        kept = evidence.platform_audit | {item.sequence for item in last.outbox}
        missing = sorted(set(range(1, last.next_sequence)) - kept)
        return (f"no audit entry has the sequence {missing[:10]}",) if missing else ()


@dataclass(frozen=True, slots=True)
class GenerationsRise:
    """A configuration never reverts, at the platform and at every entry process."""

    def faults(self, evidence: Evidence) -> tuple[str, ...]:
        """Return every fall."""
        falls = [
            f"the platform's generation fell from {old} to {new}"
            for old, new in pairwise(evidence.generations)
            if new <= old
        ]
        return (*falls, *evidence.reverted)


@dataclass(frozen=True, slots=True)
class Generation:
    """The platform holds exactly this generation."""

    generation: int

    def faults(self, evidence: Evidence) -> tuple[str, ...]:
        """Compare with the last head."""
        last = evidence.generations[-1]
        if last == self.generation:
            return ()
        return (f"generation {last}; expected {self.generation}",)


@dataclass(frozen=True, slots=True)
class PlannedStopsGraceful:
    """No planned reboot ended a request in progress."""

    def faults(self, evidence: Evidence) -> tuple[str, ...]:
        """Return the reboots that did."""
        return evidence.cut_off


@dataclass(frozen=True, slots=True)
class NoWaveHostAfterStop:
    """Once a wave has stopped, it begins with no further host."""

    wave: str

    def faults(self, evidence: Evidence) -> tuple[str, ...]:
        """Follow the audit entries of the wave."""
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
    evidence: Evidence, state: FleetState, pool: str, bound: int
) -> Iterator[tuple[str, str]]:
    hosts = evidence.objects.hosts
    racks = Counter(
        hosts[host].rack
        for host, item in state.disruptions.items()
        if item.pool == pool and host in hosts
    )
    for rack, count in racks.items():
        if bound and count > bound:
            yield pool, f"{pool}: {count} hosts of rack {rack} are out; at most {bound}"


def _entries(evidence: Evidence) -> Iterator[AuditEntry]:
    """Return each audit entry once, in the order of the changes."""
    seen = 0
    for state in evidence.fleet_history:
        for entry in state.outbox:
            if entry.sequence > seen:
                seen = entry.sequence
                yield entry


FLEET_CHECKS = {
    "budgets held": StepKind(BudgetsHeld),
    "only the holder of the duty acted": StepKind(FenceHeld),
    "the audit is complete": StepKind(AuditComplete),
    "no configuration reverted": StepKind(GenerationsRise),
    "planned stops interrupted no request": StepKind(PlannedStopsGraceful),
    "generation is": StepKind(
        Generation, {"generation": IntegerRule(1, 1_000)}, frozenset({"generation"})
    ),
    "no host was begun after the wave stopped": StepKind(
        NoWaveHostAfterStop, {"wave": NameRule()}, frozenset({"wave"})
    ),
}
