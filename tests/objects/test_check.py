from __future__ import annotations

import dataclasses
from dataclasses import replace

import pytest

from guavapin.objects.check import check
from guavapin.objects.model import AvailabilityBudget
from guavapin.objects.model import GrowthPlan
from guavapin.objects.model import Host
from guavapin.objects.model import MaintenanceWave
from guavapin.objects.model import ObjectSet
from guavapin.objects.model import Pool
from guavapin.objects.model import Service
from guavapin.objects.model import TeamQuota
from guavapin_demo.sites import SITES
from guavapin_demo.sites import build_fleet
from guavapin_demo.sites import build_objects

GAGNON = build_objects(SITES["gagnon"])
HOSTS = sorted(GAGNON.hosts)
MINUTE_MS = 60_000


def changed(**objects: object) -> ObjectSet:
    """Return the set of Gagnon with objects added or replaced, by attribute."""
    mappings = {
        attribute: {**getattr(GAGNON, attribute), obj.name: obj}
        for attribute, obj in objects.items()
    }
    return dataclasses.replace(GAGNON, **mappings)


def fault_places(objects: ObjectSet) -> set[tuple[str, str, str]]:
    return {(fault.kind, fault.name, fault.field) for fault in check(objects)}


@pytest.mark.parametrize("site", SITES.values(), ids=str)
def test_sites_have_no_fault(site):
    assert check(build_objects(site)) == ()


def test_two_year_fleet_has_no_fault_with_a_wave_over_all_hosts():
    fleet = dataclasses.replace(build_fleet(), waves={"w": MaintenanceWave("w")})
    assert check(fleet) == ()


HOST = GAGNON.hosts[HOSTS[0]]
RENEWALS = GAGNON.services["renewals"]


@pytest.mark.parametrize(
    ("objects", "place"),
    [
        ({"hosts": replace(HOST, zone="x")}, ("host", HOST.name, "zone")),
        ({"hosts": replace(HOST, pool="x")}, ("host", HOST.name, "pool")),
        ({"pools": Pool("renewals", "x")}, ("pool", "renewals", "budget")),
        ({"services": replace(RENEWALS, pool="x")}, ("service", "renewals", "pool")),
        ({"quotas": TeamQuota("q", "t", "x", 1.0)}, ("team_quota", "q", "service")),
        ({"growth_plans": GrowthPlan("g", "x", 1, 1, 2)}, ("growth_plan", "g", "pool")),
        (
            {"growth_plans": GrowthPlan("g", "renewals", 1, 5, 5)},
            ("growth_plan", "g", "notice_ms"),
        ),
        (
            {"pools": Pool("renewals", "renewals-budget", is_spare=True)},
            ("pool", "renewals", "is_spare"),
        ),
        (
            {"hosts": replace(HOST, address=GAGNON.hosts[HOSTS[1]].address)},
            ("host", HOSTS[1], "address"),
        ),
        (
            {"budgets": AvailabilityBudget("renewals-budget", min_available=7)},
            ("pool", "renewals", "budget"),
        ),
        (
            {"budgets": AvailabilityBudget("renewals-budget", min_available=6)},
            ("pool", "renewals", "budget"),
        ),
        (
            {"budgets": AvailabilityBudget("renewals-budget", min_available_share=1)},
            ("pool", "renewals", "budget"),
        ),
        (
            {"services": Service("new", "renewals", "/renewals/late")},
            ("service", "new", "path_prefix"),
        ),
        (
            {"services": Service("zone", "renewals", "/renewals/")},
            ("service", "zone", "path_prefix"),
        ),
        ({"services": Service("new", "renewals")}, ("service", "new", "path_prefix")),
        (
            {"services": Service("new", "renewals", "", ("a.example", "A.example"))},
            ("service", "new", "host_names"),
        ),
        (
            {"quotas": TeamQuota("q", "t", "renewals", 1.0, max_slots=49)},
            ("team_quota", "q", "max_slots"),
        ),
        (
            {"quotas": TeamQuota("q", "t", "renewals", 481.0)},
            ("team_quota", "q", "requests_per_second"),
        ),
        (
            {"waves": MaintenanceWave("w", pools=("x",))},
            ("maintenance_wave", "w", "pools"),
        ),
        (
            {"waves": MaintenanceWave("w", racks=("x",))},
            ("maintenance_wave", "w", "racks"),
        ),
        (
            {"waves": MaintenanceWave("w", after="x")},
            ("maintenance_wave", "w", "after"),
        ),
        (
            {"waves": MaintenanceWave("w", after="w")},
            ("maintenance_wave", "w", "after"),
        ),
    ],
)
def test_faulty_object_is_reported_at_its_field(objects, place):
    assert place in fault_places(changed(**objects))


def test_prefixes_that_share_only_letters_do_not_overlap():
    assert check(changed(services=Service("new", "renewals", "/renewals-2"))) == ()


def test_same_address_in_two_spellings_is_reported():
    first = Host("a1", "gaspe", "gaspe-r1", "renewals", "[::1]:80")
    second = Host("a2", "gaspe", "gaspe-r1", "renewals", "[0:0::1]:80")
    hosts = {**GAGNON.hosts, "a1": first, "a2": second}
    found = fault_places(dataclasses.replace(GAGNON, hosts=hosts))
    assert found == {("host", "a2", "address")}


def test_object_under_another_key_and_rack_in_two_zones_are_reported():
    moved = replace(HOST, zone="gaspe" if HOST.zone != "gaspe" else "matane")
    hosts = {**GAGNON.hosts, "other": replace(HOST, address="127.0.0.1:1")}
    hosts[HOST.name] = moved
    found = fault_places(dataclasses.replace(GAGNON, hosts=hosts))
    assert ("host", "other", "name") in found
    assert any(kind == "host" and field == "zone" for kind, _, field in found)


def test_pool_in_one_rack_cannot_meet_a_budget():
    # The loss of this rack would leave no host.
    hosts = {
        name: replace(host, rack="r", zone="gaspe") if host.pool == "renewals" else host
        for name, host in GAGNON.hosts.items()
    }
    found = fault_places(dataclasses.replace(GAGNON, hosts=hosts))
    assert found == {("pool", "renewals", "budget")}


def test_floating_point_error_does_not_round_a_share_up():
    budget = AvailabilityBudget("renewals-budget", min_available_share=2 / 3)
    assert check(changed(budgets=budget)) == ()


@pytest.mark.parametrize(
    ("wave", "rounds"),
    [
        # 30 hosts, 4 at once.
        (MaintenanceWave("w", max_at_once=4), 8),
        # 6 hosts of each pool, of which the budget spares 2.
        (MaintenanceWave("w", max_at_once=100), 3),
        (MaintenanceWave("w", pools=("renewals",), max_at_once=1), 6),
    ],
)
def test_window_must_hold_all_rounds(wave, rounds):
    wave = replace(wave, drain_timeout_ms=MINUTE_MS, reboot_timeout_ms=MINUTE_MS)
    needed_ms = rounds * 2 * MINUTE_MS
    enough = replace(wave, window_length_ms=needed_ms)
    assert check(changed(waves=enough)) == ()
    short = replace(wave, window_length_ms=needed_ms - 1)
    assert fault_places(changed(waves=short)) == {
        ("maintenance_wave", "w", "window_length_ms")
    }


def test_window_of_a_wave_must_leave_time_for_its_predecessor():
    first = MaintenanceWave("a", window_start_ms=1, window_length_ms=240 * MINUTE_MS)
    second = replace(first, name="b", after="a")
    waves = {"a": first, "b": second}
    found = fault_places(dataclasses.replace(GAGNON, waves=waves))
    assert found == {("maintenance_wave", "b", "after")}
    waves["b"] = replace(second, window_start_ms=240 * MINUTE_MS)
    assert check(dataclasses.replace(GAGNON, waves=waves)) == ()


def test_wave_over_a_pool_without_a_host_to_spare_is_reported():
    budget = AvailabilityBudget("renewals-budget", min_available=6)
    objects = changed(budgets=budget, waves=MaintenanceWave("w"))
    assert ("maintenance_wave", "w", "pools") in fault_places(objects)


def test_each_cycle_of_waves_is_reported_once():
    names = ("a", "b", "c", "d", "e")
    after = {"a": "b", "b": "c", "c": "a", "d": "a", "e": "e"}
    waves = {name: MaintenanceWave(name, after=after[name]) for name in names}
    faults = check(dataclasses.replace(GAGNON, waves=waves))
    cycles = [fault for fault in faults if fault.expected == "no cycle"]
    assert sorted(fault.name for fault in cycles) == ["a", "e"]


def test_all_faults_are_reported_at_once():
    hosts = {name: replace(host, pool="none") for name, host in GAGNON.hosts.items()}
    faults = check(dataclasses.replace(GAGNON, hosts=hosts))
    assert len([fault for fault in faults if fault.field == "pool"]) == len(hosts)
    assert len([fault for fault in faults if fault.field == "budget"]) == 5
