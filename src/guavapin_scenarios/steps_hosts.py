"""Steps that inject faults of hosts and racks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel import Ok
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.objects.fields import ChoiceRule
from guavapin.objects.fields import NameRule
from guavapin.objects.fields import NamesRule
from guavapin_scenarios.kinds import KindSpec
from guavapin_standins.upstream_messages import Behaviour

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin_scenarios.scenario_run import ScenarioRun

_BEHAVIOURS = {
    "work": Behaviour(),
    "fail everything": Behaviour(fails=True),
    "go silent": Behaviour(is_silent=True),
    "say they leave": Behaviour(is_leaving=True),
    "cut answers": Behaviour(cut_body_bytes=3),
    "are slow": Behaviour(slow_ms=2_000),
}


@dataclass(frozen=True, slots=True)
class SetHostBehaviour:
    """Set the behaviour of hosts, which are selected by name, pool or rack.

    "go silent" affects the connections that are open now; new connections work.
    """

    how: str
    hosts: tuple[str, ...] = ()
    pool: str = ""
    rack: str = ""

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Set the behaviour of the hosts' stand-ins."""
        hosts = _select(run, self.hosts, self.pool, self.rack)
        if not hosts:
            return Refused(Reason.MISSING, "the step names no host of the site")
        for host in hosts:
            run.site.set_behaviour(host, _BEHAVIOURS[self.how])
        return Ok(f"{', '.join(hosts)} {self.how}")


@dataclass(frozen=True, slots=True)
class LoseRack:
    """Take all hosts of a rack down as by a power loss, or restore them if `is_back`.

    The platform lists them as gone, or as live again, after the lag of its list.
    """

    rack: str
    is_back: bool = False

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Set the behaviour of the stand-ins and the state in the platform's list."""
        hosts = _select(run, (), "", self.rack)
        if not hosts:
            return Refused(Reason.MISSING, f"no host is in rack {self.rack!r}")
        for host in hosts:
            run.site.set_behaviour(host, Behaviour(is_down=not self.is_back))
            run.site.platform.set_host(host, "live" if self.is_back else "gone")
        return Ok(f"{', '.join(hosts)} {'are back' if self.is_back else 'are lost'}")


@dataclass(frozen=True, slots=True)
class SetListedState:
    """Make the platform list a host as live, leaving or gone, after the list's lag."""

    host: str
    state: str

    def perform(self, run: ScenarioRun) -> Outcome[str]:
        """Set the host's state in the list of the platform's stand-in."""
        if self.host not in run.site.objects.hosts:
            return Refused(Reason.MISSING, f"no host is named {self.host!r}")
        run.site.platform.set_host(self.host, self.state)
        return Ok(f"{self.host} will be listed as {self.state}")


def restore_rack(rack: str) -> LoseRack:
    """Return the step that brings a lost rack back."""
    return LoseRack(rack, is_back=True)


def _select(
    run: ScenarioRun, names: tuple[str, ...], pool: str, rack: str
) -> tuple[str, ...]:
    return tuple(
        host.name
        for host in run.site.objects.hosts.values()
        if host.name in names
        or (pool and host.pool == pool)
        or (rack and host.rack == rack)
    )


_RACK_RULES = {"rack": NameRule()}

HOST_STEPS = {
    "hosts": KindSpec(
        SetHostBehaviour,
        {
            "how": ChoiceRule(tuple(_BEHAVIOURS)),
            "hosts": NamesRule(),
            "pool": NameRule(),
            "rack": NameRule(),
        },
        frozenset({"how"}),
    ),
    "list host": KindSpec(
        SetListedState,
        {"host": NameRule(), "state": ChoiceRule(("live", "leaving", "gone"))},
        frozenset({"host", "state"}),
    ),
    "lose rack": KindSpec(LoseRack, _RACK_RULES, frozenset({"rack"})),
    "return rack": KindSpec(restore_rack, _RACK_RULES, frozenset({"rack"})),
}
