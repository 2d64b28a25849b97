"""Steps that inject faults of the platform and of the network between zones."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel import Ok
from guavapin.objects.fields import ChoiceRule
from guavapin.objects.fields import IntegerRule
from guavapin.objects.fields import NamesRule
from guavapin_scenarios.kinds import KindSpec

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin_scenarios.scenario_run import ScenarioRun

_OUTAGES = {"up": "", "refuses": "closed", "silent": "silent", "errors": "error"}


@dataclass(frozen=True, slots=True)
class SetPlatform:
    """Make the platform answer, refuse connections, stay silent or return errors."""

    state: str

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Set the outage of the platform's stand-in."""
        run.set_faults(outage=_OUTAGES[self.state])
        return Ok(f"platform: {self.state}")


@dataclass(frozen=True, slots=True)
class SlowPlatform:
    """Delay every answer of the platform by `delay_ms`; 0 ends the delay."""

    delay_ms: int

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Set the delay of the platform's stand-in."""
        run.set_faults(delay_ms=self.delay_ms)
        return Ok(f"platform answers after {self.delay_ms} ms")


@dataclass(frozen=True, slots=True)
class CutZones:
    """Cut zones off from the platform or from the peers of other zones.

    The zones replace those of an earlier step; an empty list ends the partition.
    """

    zones: tuple[str, ...]
    off: str = "platform"

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Set the fault at the platform's stand-in or in the filter of the peers."""
        if self.off == "platform":
            run.set_faults(cut_off_zones=self.zones)
        else:
            run.site.zone_filter.isolated_zones = frozenset(self.zones)
        return Ok(f"cut off from the {self.off}: {', '.join(self.zones) or 'none'}")


@dataclass(frozen=True, slots=True)
class LoseAnswers:
    """Lose the answers of the next `count` writes, which take effect nevertheless.

    With `lost` = "requests" the writes have no effect either.
    """

    count: int
    lost: str = "answers"

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Set the number of lost writes at the platform's stand-in."""
        if self.lost == "answers":
            run.set_faults(lost_answers=self.count)
        else:
            run.set_faults(lost_requests=self.count)
        return Ok(f"the next {self.count} {self.lost} of writes are lost")


PLATFORM_STEPS = {
    "platform": KindSpec(
        SetPlatform, {"state": ChoiceRule(tuple(_OUTAGES))}, frozenset({"state"})
    ),
    "slow platform": KindSpec(
        SlowPlatform, {"delay_ms": IntegerRule(0, 10_000)}, frozenset({"delay_ms"})
    ),
    "cut off": KindSpec(
        CutZones,
        {"zones": NamesRule(), "off": ChoiceRule(("platform", "other zones"))},
        frozenset({"zones"}),
    ),
    "lose answers": KindSpec(
        LoseAnswers,
        {"count": IntegerRule(1, 100), "lost": ChoiceRule(("answers", "requests"))},
        frozenset({"count"}),
    ),
}
