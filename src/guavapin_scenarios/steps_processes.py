"""Steps that replace, crash, start and pause entry and control processes."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel import Ok
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.keyvalue.messages import Found
from guavapin.objects.fields import BooleanRule
from guavapin.objects.fields import NameRule
from guavapin.objects.fields import NamesRule
from guavapin_scenarios.kinds import KindSpec

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.objects.fields import FieldRule
    from guavapin_demo.embedded import EntryAddresses
    from guavapin_scenarios.scenario_run import ScenarioRun

DUTY_KEY = "duty/fleet"
DUTY_TIMEOUT_MS = 30_000


@dataclass(frozen=True, slots=True)
class ReplaceEntries:
    """Stop entry processes gracefully and start them again, as the platform does.

    The processes are replaced one after the other, or all in parallel with `at_once`.
    """

    entries: tuple[str, ...] = ()
    zone: str = ""
    at_once: bool = False

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Drain, stop and start each selected process."""
        selected = _select(run, self.entries, self.zone)
        if not selected:
            return Refused(Reason.MISSING, "the step names no entry process")

        def replace(address: EntryAddresses) -> None:
            run.site.drain_entry(address.name)
            run.site.start_entry(address)

        with ThreadPoolExecutor(len(selected) if self.at_once else 1) as executor:
            list(executor.map(replace, selected))
        return Ok(f"replaced {_join_names(selected)}")


@dataclass(frozen=True, slots=True)
class CrashEntries:
    """Stop entry processes without a drain; they do not restart by themselves."""

    entries: tuple[str, ...] = ()
    zone: str = ""

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Stop the kernels of the selected processes."""
        selected = _select(run, self.entries, self.zone)
        for address in selected:
            run.site.stop_entry(address.name)
        return Ok(f"crashed {_join_names(selected)}")


@dataclass(frozen=True, slots=True)
class StartEntries:
    """Start entry processes that crashed before."""

    entries: tuple[str, ...] = ()
    zone: str = ""

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Start the selected processes on their previous addresses."""
        selected = _select(run, self.entries, self.zone)
        for address in selected:
            run.site.start_entry(address)
        return Ok(f"started {_join_names(selected)}")


@dataclass(frozen=True, slots=True)
class PauseDutyHolder:
    """Pause the control process that holds the fleet duty, with all of its tasks."""

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Block its event loop until the step "wake duty holder"."""
        if not run.wait_until(lambda: bool(duty_holder(run)), DUTY_TIMEOUT_MS):
            return Refused(Reason.TIMEOUT, "nobody holds the duty")
        name = duty_holder(run)
        run.variables["paused"] = name
        run.site.pause_control(name)
        return Ok(f"paused control process {name}")


@dataclass(frozen=True, slots=True)
class WakeDutyHolder:
    """Resume the paused control process where it stopped."""

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Unblock its event loop."""
        run.site.resume_controls()
        return Ok(f"{run.variables.get('paused', 'nobody')} goes on")


def duty_holder(run: ScenarioRun) -> str:
    """Return the entry host whose control process holds the duty, empty if none."""
    found = run.read(DUTY_KEY)
    if not isinstance(found, Found):
        return ""
    return found.value.decode().split("/")[1]


def _select(
    run: ScenarioRun, names: tuple[str, ...], zone: str
) -> tuple[EntryAddresses, ...]:
    return tuple(
        item for item in run.site.addresses if item.name in names or item.zone == zone
    )


def _join_names(selected: tuple[EntryAddresses, ...]) -> str:
    return ", ".join(item.name for item in selected)


_ENTRY_SELECTION_RULES: dict[str, FieldRule] = {
    "entries": NamesRule(),
    "zone": NameRule(),
}

PROCESS_STEPS = {
    "replace entry processes": KindSpec(
        ReplaceEntries, {**_ENTRY_SELECTION_RULES, "at_once": BooleanRule()}
    ),
    "crash entry processes": KindSpec(CrashEntries, _ENTRY_SELECTION_RULES),
    "start entry processes": KindSpec(StartEntries, _ENTRY_SELECTION_RULES),
    "pause duty holder": KindSpec(PauseDutyHolder),
    "wake duty holder": KindSpec(WakeDutyHolder),
}
