"""Steps: entry and control processes are replaced, crash, start or pause."""

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
from guavapin_scenarios.kinds import StepKind

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.objects.fields import FieldRule
    from guavapin_demo.embedded import EntryAddresses
    from guavapin_scenarios.world import World

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

    def perform(self, world: World) -> Outcome[str]:
        """Drain, stop and start each of them."""
        chosen = _select(world, self.entries, self.zone)
        if not chosen:
            return Refused(Reason.MISSING, "the step names no entry process")

        def replace(address: EntryAddresses) -> None:
            world.site.drain_entry(address.name)
            world.site.start_entry(address)

        with ThreadPoolExecutor(len(chosen) if self.at_once else 1) as executor:
            list(executor.map(replace, chosen))
        return Ok(f"replaced {_names(chosen)}")


@dataclass(frozen=True, slots=True)
class CrashEntries:
    """Entry processes end at once and do not come back by themselves."""

    entries: tuple[str, ...] = ()
    zone: str = ""

    def perform(self, world: World) -> Outcome[str]:
        """Stop their kernels."""
        chosen = _select(world, self.entries, self.zone)
        for address in chosen:
            world.site.stop_entry(address.name)
        return Ok(f"crashed {_names(chosen)}")


@dataclass(frozen=True, slots=True)
class StartEntries:
    """Start entry processes that had crashed."""

    entries: tuple[str, ...] = ()
    zone: str = ""

    def perform(self, world: World) -> Outcome[str]:
        """Start them on their former addresses."""
        chosen = _select(world, self.entries, self.zone)
        for address in chosen:
            world.site.start_entry(address)
        return Ok(f"started {_names(chosen)}")


@dataclass(frozen=True, slots=True)
class PauseDutyHolder:
    """The control process that holds the fleet duty is paused as a whole."""

    def perform(self, world: World) -> Outcome[str]:
        """Hold its event loop until the step "wake duty holder"."""
        if not world.wait_until(lambda: bool(duty_holder(world)), DUTY_TIMEOUT_MS):
            return Refused(Reason.TIMEOUT, "nobody holds the duty")
        name = duty_holder(world)
        world.notes["paused"] = name
        world.site.hold_control(name)
        return Ok(f"paused control process {name}")


@dataclass(frozen=True, slots=True)
class WakeDutyHolder:
    """The paused control process goes on where it was."""

    def perform(self, world: World) -> Outcome[str]:
        """Release its event loop."""
        world.site.release_controls()
        return Ok(f"{world.notes.get('paused', 'nobody')} goes on")


def duty_holder(world: World) -> str:
    """Return the name of the entry host whose control process holds the duty."""
    found = world.read(DUTY_KEY)
    if not isinstance(found, Found):
        return ""
    return found.value.decode().split("/")[1]


def _select(
    world: World, names: tuple[str, ...], zone: str
) -> tuple[EntryAddresses, ...]:
    return tuple(
        item for item in world.site.addresses if item.name in names or item.zone == zone
    )


def _names(chosen: tuple[EntryAddresses, ...]) -> str:
    return ", ".join(item.name for item in chosen)


_CHOICE: dict[str, FieldRule] = {"entries": NamesRule(), "zone": NameRule()}

PROCESS_STEPS = {
    "replace entry processes": StepKind(
        ReplaceEntries, {**_CHOICE, "at_once": BooleanRule()}
    ),
    "crash entry processes": StepKind(CrashEntries, _CHOICE),
    "start entry processes": StepKind(StartEntries, _CHOICE),
    "pause duty holder": StepKind(PauseDutyHolder),
    "wake duty holder": StepKind(WakeDutyHolder),
}
