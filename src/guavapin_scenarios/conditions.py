"""States that a script can wait for."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.fleet.state import HostPhase
from guavapin.objects.fields import ChoiceRule
from guavapin.objects.fields import IntegerRule
from guavapin.objects.fields import NameRule
from guavapin_scenarios.kinds import StepKind
from guavapin_scenarios.steps_processes import duty_holder

if TYPE_CHECKING:
    from guavapin_scenarios.world import World

_PHASES = tuple(phase.value for phase in HostPhase)
_STATUSES = ("pending", "running", "paused", "stopped", "aborted", "done")


@dataclass(frozen=True, slots=True)
class WaveHosts:
    """At least `count` hosts of a wave are in a phase, or in any if it is empty."""

    wave: str
    count: int = 1
    phase: str = ""

    def holds(self, world: World) -> bool:
        """Look at the fleet record."""
        found = [
            item
            for item in world.fleet().disruptions.values()
            if item.wave == self.wave and self.phase in ("", item.phase.value)
        ]
        return len(found) >= self.count


@dataclass(frozen=True, slots=True)
class WaveIs:
    """A wave has a status."""

    wave: str
    status: str

    def holds(self, world: World) -> bool:
        """Look at the fleet record."""
        progress = world.fleet().waves.get(self.wave)
        return progress is not None and progress.status.value == self.status


@dataclass(frozen=True, slots=True)
class HostIs:
    """A planned disruption of a host is in a phase; "serving" means that there is none.

    With `pool`, the host must be placed there.
    """

    host: str
    phase: str = "serving"
    pool: str = ""

    def holds(self, world: World) -> bool:
        """Look at the fleet record."""
        state = world.fleet()
        item = state.disruptions.get(self.host)
        phase = "serving" if item is None else item.phase.value
        is_there = self.pool in ("", state.placements.get(self.host))
        return phase == self.phase and is_there


@dataclass(frozen=True, slots=True)
class EntriesReady:
    """The entry processes of a zone, or all, are ready."""

    zone: str = ""

    def holds(self, world: World) -> bool:
        """Ask the balancer."""
        ready = world.ready_addresses()
        return all(
            item.callers in ready
            for item in world.site.addresses
            if self.zone in ("", item.zone)
        )


@dataclass(frozen=True, slots=True)
class GenerationInForce:
    """The platform's generation is in force at every entry process that runs."""

    def holds(self, world: World) -> bool:
        """Compare all of them."""
        return set(world.generations().values()) == {world.generation}


@dataclass(frozen=True, slots=True)
class UpstreamsIdle:
    """No upstream runs a request."""

    def holds(self, world: World) -> bool:
        """Ask the stand-ins."""
        return world.site.running() == 0


@dataclass(frozen=True, slots=True)
class UpstreamsRun:
    """The upstreams run at least `count` requests."""

    count: int

    def holds(self, world: World) -> bool:
        """Ask the stand-ins."""
        return world.site.running() >= self.count


@dataclass(frozen=True, slots=True)
class DutyTaken:
    """Another control process than the paused one holds the duty and has fenced it."""

    def holds(self, world: World) -> bool:
        """Look at the lease's record and at the last fence."""
        holder = duty_holder(world)
        if not holder or holder == world.notes.get("paused"):
            return False
        raised = [e for e in world.fleet().outbox if e.action == "fence.raise"]
        return bool(raised) and raised[-1].actor == f"control/{holder}"


@dataclass(frozen=True, slots=True)
class LoadAnswered:
    """At least `count` requests of a load have ended; 0 stands for all."""

    load: str
    count: int = 0

    def holds(self, world: World) -> bool:
        """Look at the callers."""
        if self.count:
            return world.answered(self.load) >= self.count
        return world.is_load_done(self.load)


@dataclass(frozen=True, slots=True)
class TimePassed:
    """A time has passed in which something is expected not to happen."""

    seconds: int

    def holds(self, world: World) -> bool:
        """Wait; the state holds afterwards."""
        world.wait_until(lambda: False, self.seconds * 1_000)
        return True


_COUNT = IntegerRule(0, 100_000)

CONDITIONS = {
    "wave has hosts": StepKind(
        WaveHosts,
        {"wave": NameRule(), "count": _COUNT, "phase": ChoiceRule(_PHASES)},
        frozenset({"wave"}),
    ),
    "wave is": StepKind(
        WaveIs,
        {"wave": NameRule(), "status": ChoiceRule(_STATUSES)},
        frozenset({"wave", "status"}),
    ),
    "host is": StepKind(
        HostIs,
        {
            "host": NameRule(),
            "phase": ChoiceRule((*_PHASES, "serving")),
            "pool": NameRule(),
        },
        frozenset({"host"}),
    ),
    "entry processes are ready": StepKind(EntriesReady, {"zone": NameRule()}),
    "generation is in force": StepKind(GenerationInForce),
    "upstreams are idle": StepKind(UpstreamsIdle),
    "upstreams run": StepKind(UpstreamsRun, {"count": _COUNT}, frozenset({"count"})),
    "duty is taken over": StepKind(DutyTaken),
    "load is answered": StepKind(
        LoadAnswered, {"load": NameRule(), "count": _COUNT}, frozenset({"load"})
    ),
    "time has passed": StepKind(
        TimePassed, {"seconds": IntegerRule(1, 60)}, frozenset({"seconds"})
    ),
}
