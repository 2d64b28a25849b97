"""Decisions of the fleet duty before all hosts are admitted."""

from __future__ import annotations

from dataclasses import replace

from guavapin.duties.decide import DutySituation
from guavapin.duties.decide import decide
from guavapin.fleet import actions
from guavapin.fleet.state import FleetState
from guavapin.objects.model import MaintenanceWave
from tests.fleet.builders import objects
from tests.fleet.builders import placed


def action_types(object_set, state: FleetState) -> set[type]:
    live = frozenset(object_set.hosts)
    situation = DutySituation(state, object_set, live, 1_000, 1_000, {})
    return {type(change.action) for change in decide(situation).changes}


def test_wave_of_the_first_publication_waits_for_its_hosts():
    # Guards against a wave that starts and ends before the first host is admitted: the
    # whole maintenance was skipped, and no fault was shown.
    object_set = objects(wave=MaintenanceWave("w"))
    before = action_types(object_set, FleetState())
    assert actions.AdmitHost in before
    assert actions.StartWave not in before
    assert actions.StartWave in action_types(object_set, placed(object_set))


def test_wave_waits_until_a_host_of_its_own_scope_is_admitted():
    object_set = objects(wave=MaintenanceWave("w", pools=("b",)))
    state = placed(object_set)
    only_a = {host: pool for host, pool in state.placements.items() if pool == "a"}
    partly = replace(state, placements=only_a)
    assert actions.StartWave not in action_types(object_set, partly)


def test_wave_without_any_declared_host_still_ends():
    # Guards against waves that wait forever for a predecessor without hosts.
    object_set = objects(wave=MaintenanceWave("w", racks=("none",)))
    assert actions.StartWave in action_types(object_set, placed(object_set))
