"""Steps: entry and control processes are replaced, crash, start or pause."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel import Ok
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.keyvalue.messages import Found
from guavapin.objects.fields import FlagRule
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
    """The platform stops entry processes gracefully and starts them anew.

    One after the other, or all `at_once`.
    """

    entries: tuple[str, ...] = ()
    zone: str = ""
    at_once: bool = False

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Drain, stop and start each of them."""
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
    """Entry processes end at once and do not come back by themselves."""

    entries: tuple[str, ...] = ()
    zone: str = ""

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Stop their kernels."""
        selected = _select(run, self.entries, self.zone)
        for address in selected:
            run.site.stop_entry(address.name)
        return Ok(f"crashed {_join_names(selected)}")


@dataclass(frozen=True, slots=True)
class StartEntries:
    """Start entry processes that had crashed."""

    entries: tuple[str, ...] = ()
    zone: str = ""

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Start them on their former addresses."""
        selected = _select(run, self.entries, self.zone)
        for address in selected:
            run.site.start_entry(address)
        return Ok(f"started {_join_names(selected)}")


@dataclass(frozen=True, slots=True)
class PauseDutyHolder:
    """The control process that holds the fleet duty is paused as a whole."""

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Hold its event loop until the step "wake duty holder"."""
        if not run.wait_until(lambda: bool(duty_holder(run)), DUTY_TIMEOUT_MS):
            return Refused(Reason.TIMEOUT, "nobody holds the duty")
        name = duty_holder(run)
        run.variables["paused"] = name
        run.site.pause_control(name)
        return Ok(f"paused control process {name}")


@dataclass(frozen=True, slots=True)
class WakeDutyHolder:
    """The paused control process goes on where it was."""

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Release its event loop."""
        run.site.resume_controls()
        return Ok(f"{run.variables.get('paused', 'nobody')} goes on")


def duty_holder(run: ScenarioRun) -> str:
    """Return the name of the entry host whose control process holds the duty."""
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
        ReplaceEntries, {**_ENTRY_SELECTION_RULES, "at_once": FlagRule()}
    ),
    "crash entry processes": KindSpec(CrashEntries, _ENTRY_SELECTION_RULES),
    "start entry processes": KindSpec(StartEntries, _ENTRY_SELECTION_RULES),
    "pause duty holder": KindSpec(PauseDutyHolder),
    "wake duty holder": KindSpec(WakeDutyHolder),
}
