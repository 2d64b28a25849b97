"""Each check of a scenario reports the violation that it exists for."""

from __future__ import annotations

from dataclasses import replace

import pytest

from guavapin.fleet.state import AuditEntry
from guavapin.fleet.state import Disruption
from guavapin.fleet.state import DisruptionKind
from guavapin.fleet.state import FleetState
from guavapin.fleet.state import HostPhase
from guavapin_demo.callers import CallerRecord
from guavapin_demo.callers import Result
from guavapin_demo.demand import PlannedRequest
from guavapin_demo.sites import GAGNON
from guavapin_demo.sites import build_objects
from guavapin_scenarios.checks_answers import ResultCount
from guavapin_scenarios.checks_fleet import NoWaveHostAfterStop
from guavapin_scenarios.guarantees import Guarantees
from guavapin_scenarios.protocols import Evidence
from guavapin_standins.upstream_messages import Record
from guavapin_standins.upstream_messages import Run

OBJECTS = build_objects(GAGNON)
RENEWALS = tuple(h.name for h in OBJECTS.hosts.values() if h.pool == "renewals")
PLACED = FleetState(placements={h.name: h.pool for h in OBJECTS.hosts.values()})


def evidence(answers=(), runs=(), states=(PLACED,), **others) -> Evidence:
    values = {
        "objects": OBJECTS,
        "answers": {"day": tuple(answers)},
        "records": {"h": Record(runs=tuple(runs))},
        "fleet_history": tuple(states),
        "generations": (1, 2),
        "platform_audit": frozenset(),
        "reverted": (),
        "cut_off": (),
    }
    return Evidence(**{**values, **others})


def answer(identity: str, result: Result, key: str = "") -> CallerRecord:
    request = PlannedRequest(0, identity, "renewals", "GET", 1, key)
    return CallerRecord(request, result, 1)


def run(identity: str, key: str = "") -> Run:
    return Run(identity, key, "GET", "/renewals", (), 0)


def draining(hosts) -> FleetState:
    items = {
        host: Disruption(
            host, "renewals", DisruptionKind.DRAIN, HostPhase.DRAINING, "op", 0
        )
        for host in hosts
    }
    return replace(PLACED, disruptions=items)


def audited(*entries: tuple[str, str]) -> FleetState:
    outbox = tuple(
        AuditEntry(number, 0, actor, action, "fleet", 1)
        for number, (actor, action) in enumerate(entries, 1)
    )
    return replace(PLACED, outbox=outbox, next_sequence=len(outbox) + 1)


def test_run_without_violation_passes():
    seen = evidence([answer("r1", Result.WHOLE)], [run("r1")])
    assert Guarantees().find_violations(seen) == ()


@pytest.mark.parametrize(
    ("seen", "fault"),
    [
        (evidence([answer("r1", Result.WRONG)]), "wrong answer"),
        (evidence([answer("r1", Result.NOT_RUN)], [run("r1")]), "refused as not run"),
        (evidence((), [run("r1", "k"), run("r2", "k")]), "k ran 2 times"),
        (evidence([answer("r1", Result.WHOLE)]), "answered and never ran"),
        (evidence([answer("r1", Result.WHOLE, "k")]), "answered and never ran"),
        (evidence(records={"h": Record(violations=1)}), "1 violations"),
        (evidence(states=[draining(RENEWALS[:3])]), "4 must stay available"),
        (evidence(generations=(2, 1)), "fell from 2 to 1"),
        (evidence(reverted=("e0: generation 2, then 1",)), "then 1"),
        (evidence(cut_off=("h was rebooted",)), "rebooted"),
        (evidence(states=[replace(PLACED, next_sequence=2)]), "sequence [1]"),
        (
            evidence(
                states=[
                    audited(
                        ("control/a", "fence.raise"),
                        ("control/b", "fence.raise"),
                        ("control/a", "wave.start"),
                    )
                ]
            ),
            "control/b had the duty",
        ),
        (
            evidence(states=[replace(PLACED, fence=2), replace(PLACED, fence=1)]),
            "fence fell",
        ),
    ],
)
def test_violation_is_seen(seen, fault):
    assert any(fault in item for item in Guarantees().find_violations(seen))


def test_budget_that_is_used_up_is_no_violation():
    assert Guarantees().find_violations(evidence(states=[draining(RENEWALS[:2])])) == ()


def test_counts_of_answers_are_bounded():
    seen = evidence([answer("r1", Result.LOST), answer("r2", Result.WHOLE)])
    assert ResultCount("lost", most=0).find_violations(seen)
    assert ResultCount("whole", least_share=0.6).find_violations(seen)
    assert ResultCount("whole", load="day", least_share=0.5).find_violations(seen) == ()


def test_host_begun_after_the_stop_of_its_wave_is_seen():
    entries = (
        AuditEntry(1, 0, "control/a", "wave.stop", "w", 1),
        AuditEntry(2, 0, "control/a", "wave.host.start", "h", 1, "", "draining by w"),
    )
    seen = evidence(states=[replace(PLACED, outbox=entries)])
    assert NoWaveHostAfterStop("w").find_violations(seen)
