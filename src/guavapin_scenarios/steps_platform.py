"""Steps: faults of the platform and of the network between zones."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel import Ok
from guavapin.objects.fields import ChoiceRule
from guavapin.objects.fields import IntegerRule
from guavapin.objects.fields import NamesRule
from guavapin_scenarios.kinds import StepKind

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin_scenarios.world import World

_OUTAGES = {"up": "", "refuses": "closed", "silent": "silent", "errors": "error"}


@dataclass(frozen=True, slots=True)
class SetPlatform:
    """The platform answers, refuses connections, is silent or answers with errors."""

    state: str

    def perform(self, world: World) -> Outcome[str]:
        """Switch the stand-in."""
        world.set_faults(outage=_OUTAGES[self.state])
        return Ok(f"platform: {self.state}")


@dataclass(frozen=True, slots=True)
class SlowPlatform:
    """The platform holds every answer back; 0 ends it."""

    delay_ms: int

    def perform(self, world: World) -> Outcome[str]:
        """Switch the stand-in."""
        world.set_faults(delay_ms=self.delay_ms)
        return Ok(f"platform answers after {self.delay_ms} ms")


@dataclass(frozen=True, slots=True)
class CutZones:
    """Zones that cannot reach the platform, or the peers of other zones; none ends it.

    The zones of one step replace those of an earlier one.
    """

    zones: tuple[str, ...]
    off: str = "platform"

    def perform(self, world: World) -> Outcome[str]:
        """Switch the stand-in or the filter of the peers."""
        if self.off == "platform":
            world.set_faults(cut_off_zones=self.zones)
        else:
            world.site.zone_filter.cut_zones = frozenset(self.zones)
        return Ok(f"cut off from the {self.off}: {', '.join(self.zones) or 'none'}")


@dataclass(frozen=True, slots=True)
class LoseAnswers:
    """The next writes take effect, but their answers are lost.

    With `lost` = "requests" they have no effect either.
    """

    count: int
    lost: str = "answers"

    def perform(self, world: World) -> Outcome[str]:
        """Arm the stand-in."""
        if self.lost == "answers":
            world.set_faults(lost_answers=self.count)
        else:
            world.set_faults(lost_requests=self.count)
        return Ok(f"the next {self.count} {self.lost} of writes are lost")


PLATFORM_STEPS = {
    "platform": StepKind(
        SetPlatform, {"state": ChoiceRule(tuple(_OUTAGES))}, frozenset({"state"})
    ),
    "slow platform": StepKind(
        SlowPlatform, {"delay_ms": IntegerRule(0, 10_000)}, frozenset({"delay_ms"})
    ),
    "cut off": StepKind(
        CutZones,
        {"zones": NamesRule(), "off": ChoiceRule(("platform", "other zones"))},
        frozenset({"zones"}),
    ),
    "lose answers": StepKind(
        LoseAnswers,
        {"count": IntegerRule(1, 100), "lost": ChoiceRule(("answers", "requests"))},
        frozenset({"count"}),
    ),
}
