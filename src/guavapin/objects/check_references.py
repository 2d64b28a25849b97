"""Checks of names: references, keys, spare pool, addresses and racks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.objects.fields import split_address
from guavapin.objects.kinds import KINDS
from guavapin.objects.kinds import objects_of
from guavapin.objects.model import Fault

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator

    from guavapin.objects.model import ObjectSet


def check_names(objects: ObjectSet) -> Iterator[Fault]:
    """Report objects whose key in the set differs from their name."""
    for kind in KINDS:
        for key, obj in objects_of(objects, kind).items():
            if obj.name != key:
                yield Fault(kind.word, key, "name", repr(obj.name), repr(key))


def check_references(objects: ObjectSet) -> Iterator[Fault]:
    """Report references to objects that do not exist."""
    pools, services = objects.pools, objects.services
    for name, host in objects.hosts.items():
        yield from _check_reference("host", name, "zone", host.zone, objects.zones)
        yield from _check_reference("host", name, "pool", host.pool, pools)
    for name, pool in pools.items():
        yield from _check_reference(
            "pool", name, "budget", pool.budget, objects.budgets
        )
    for name, service in services.items():
        yield from _check_reference("service", name, "pool", service.pool, pools)
    for name, quota in objects.quotas.items():
        yield from _check_reference(
            "team_quota", name, "service", quota.service, services
        )
    for name, plan in objects.growth_plans.items():
        yield from _check_reference("growth_plan", name, "pool", plan.pool, pools)
    racks = {host.rack for host in objects.hosts.values()}
    for name, wave in objects.waves.items():
        for pool_name in wave.pools:
            yield from _check_reference(
                "maintenance_wave", name, "pools", pool_name, pools
            )
        for rack in wave.racks:
            yield from _check_reference("maintenance_wave", name, "racks", rack, racks)
        if wave.after:
            yield from _check_reference(
                "maintenance_wave", name, "after", wave.after, objects.waves
            )


def check_spare_pools(objects: ObjectSet) -> Iterator[Fault]:
    """Report spare pools beyond the first."""
    spares = sorted(name for name, pool in objects.pools.items() if pool.is_spare)
    for name in spares[1:]:
        expected = f"at most one spare pool, {spares[0]!r} is one"
        yield Fault("pool", name, "is_spare", "true", expected)


def check_hosts(objects: ObjectSet) -> Iterator[Fault]:
    """Report addresses used twice and racks that span two zones.

    A machine whose address has two names would be placed in two pools.
    """
    owners: dict[tuple[str, int] | str, str] = {}
    zones: dict[str, tuple[str, str]] = {}
    for name, host in objects.hosts.items():
        address = split_address(host.address) or host.address
        owner = owners.setdefault(address, name)
        if owner != name:
            expected = f"an address of its own, host {owner!r} has this one"
            yield Fault("host", name, "address", repr(host.address), expected)
        first, zone = zones.setdefault(host.rack, (name, host.zone))
        if zone != host.zone:
            expected = f"zone {zone!r}, in which host {first!r} has the same rack"
            yield Fault("host", name, "zone", repr(host.zone), expected)


def _check_reference(
    kind: str, name: str, field: str, target: str, known: Collection[str]
) -> Iterator[Fault]:
    if target not in known:
        yield Fault(kind, name, field, repr(target), "the name of a published object")
