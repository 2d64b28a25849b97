"""Conditions that a script can wait for.

Reports print a condition with its class and field names, which therefore stay stable.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.fleet.state import HostPhase
from guavapin.objects.fields import ChoiceRule
from guavapin.objects.fields import IntegerRule
from guavapin.objects.fields import NameRule
from guavapin_scenarios.kinds import KindSpec
from guavapin_scenarios.steps_processes import duty_holder

if TYPE_CHECKING:
    from guavapin_scenarios.scenario_run import ScenarioRun

_PHASES = tuple(phase.value for phase in HostPhase)
_STATUSES = ("pending", "running", "paused", "stopped", "aborted", "done")


@dataclass(frozen=True, slots=True)
class WaveHosts:
    """At least `count` hosts of a wave are in `phase`; an empty `phase` means any."""

    wave: str
    count: int = 1
    phase: str = ""

    def holds(self, run: ScenarioRun) -> bool:
        """Count the wave's disruptions in the fleet record."""
        found = [
            item
            for item in run.fleet().disruptions.values()
            if item.wave == self.wave and self.phase in ("", item.phase.value)
        ]
        return len(found) >= self.count


@dataclass(frozen=True, slots=True)
class WaveIs:
    """A wave has a given status."""

    wave: str
    status: str

    def holds(self, run: ScenarioRun) -> bool:
        """Compare with the wave's progress in the fleet record."""
        progress = run.fleet().waves.get(self.wave)
        return progress is not None and progress.status.value == self.status


@dataclass(frozen=True, slots=True)
class HostIs:
    """The planned disruption of a host is in a given phase.

    The phase "serving" means that the host has no disruption. If `pool` is given, the
    host must also be placed there.
    """

    host: str
    phase: str = "serving"
    pool: str = ""

    def holds(self, run: ScenarioRun) -> bool:
        """Compare with the host's disruption and placement in the fleet record."""
        state = run.fleet()
        item = state.disruptions.get(self.host)
        phase = "serving" if item is None else item.phase.value
        is_in_pool = self.pool in ("", state.placements.get(self.host))
        return phase == self.phase and is_in_pool


@dataclass(frozen=True, slots=True)
class EntriesReady:
    """All entry processes of a zone are ready, or those of all zones without one."""

    zone: str = ""

    def holds(self, run: ScenarioRun) -> bool:
        """Compare with the addresses that the balancer found ready last."""
        ready = run.ready_addresses()
        return all(
            item.callers in ready
            for item in run.site.addresses
            if self.zone in ("", item.zone)
        )


@dataclass(frozen=True, slots=True)
class GenerationInForce:
    """Every running entry process has the platform's generation in force."""

    def holds(self, run: ScenarioRun) -> bool:
        """Compare the generation of each entry process with the platform's."""
        return set(run.generations().values()) == {run.generation}


@dataclass(frozen=True, slots=True)
class UpstreamsIdle:
    """No upstream runs a request."""

    def holds(self, run: ScenarioRun) -> bool:
        """Ask the stand-ins for their requests in progress."""
        return run.site.count_running() == 0


@dataclass(frozen=True, slots=True)
class UpstreamsRun:
    """The upstreams run at least `count` requests."""

    count: int

    def holds(self, run: ScenarioRun) -> bool:
        """Compare with the requests in progress at the stand-ins."""
        return run.site.count_running() >= self.count


@dataclass(frozen=True, slots=True)
class DutyTaken:
    """A control process other than the paused one holds the duty and raised the fence.

    The raised fence excludes the paused process once it goes on.
    """

    def holds(self, run: ScenarioRun) -> bool:
        """Compare the holder in the duty's key with the last raise of the fence."""
        holder = duty_holder(run)
        if not holder or holder == run.variables.get("paused"):
            return False
        raised = [e for e in run.fleet().outbox if e.action == "fence.raise"]
        return bool(raised) and raised[-1].actor == f"control/{holder}"


@dataclass(frozen=True, slots=True)
class LoadAnswered:
    """At least `count` requests of a load have ended; 0 means all of them."""

    load: str
    count: int = 0

    def holds(self, run: ScenarioRun) -> bool:
        """Compare with the progress of the load's callers."""
        if self.count:
            return run.count_answered(self.load) >= self.count
        return run.is_load_done(self.load)


@dataclass(frozen=True, slots=True)
class TimePassed:
    """A time has passed; used where something is expected not to happen."""

    seconds: int

    def holds(self, run: ScenarioRun) -> bool:
        """Wait for the whole time, then return true."""
        run.wait_until(lambda: False, self.seconds * 1_000)
        return True


_COUNT_RULE = IntegerRule(0, 100_000)

CONDITIONS = {
    "wave has hosts": KindSpec(
        WaveHosts,
        {"wave": NameRule(), "count": _COUNT_RULE, "phase": ChoiceRule(_PHASES)},
        frozenset({"wave"}),
    ),
    "wave is": KindSpec(
        WaveIs,
        {"wave": NameRule(), "status": ChoiceRule(_STATUSES)},
        frozenset({"wave", "status"}),
    ),
    "host is": KindSpec(
        HostIs,
        {
            "host": NameRule(),
            "phase": ChoiceRule((*_PHASES, "serving")),
            "pool": NameRule(),
        },
        frozenset({"host"}),
    ),
    "entry processes are ready": KindSpec(EntriesReady, {"zone": NameRule()}),
    "generation is in force": KindSpec(GenerationInForce),
    "upstreams are idle": KindSpec(UpstreamsIdle),
    "upstreams run": KindSpec(
        UpstreamsRun, {"count": _COUNT_RULE}, frozenset({"count"})
    ),
    "duty is taken over": KindSpec(DutyTaken),
    "load is answered": KindSpec(
        LoadAnswered, {"load": NameRule(), "count": _COUNT_RULE}, frozenset({"load"})
    ),
    "time has passed": KindSpec(
        TimePassed, {"seconds": IntegerRule(1, 60)}, frozenset({"seconds"})
    ),
}
