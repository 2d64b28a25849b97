"""Checks of budgets, quotas and growth plans against the declared hosts."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from guavapin.objects.model import Fault

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from guavapin.objects.index import PoolView
    from guavapin.objects.model import ObjectSet


def check_budgets(views: Mapping[str, PoolView]) -> Iterator[Fault]:
    """Report pools whose hosts cannot meet their budget.

    The budget must hold with all hosts, and after the loss of the rack that has most
    of the pool's hosts. The loss of a zone is left to capacity planning: at a site
    with two zones it would require half of the hosts as spares.
    """
    for name, view in views.items():
        if view.required > view.size:
            found = f"{view.size} hosts"
            yield Fault("pool", name, "budget", found, f"at least {view.required}")
            continue
        rack, count = view.largest_rack()
        if view.required > view.size - count:
            found = f"{view.size} hosts, {count} of them in rack {rack!r}"
            expected = f"at least {view.required} hosts without any one rack"
            yield Fault("pool", name, "budget", found, expected)


def check_quotas(objects: ObjectSet, views: Mapping[str, PoolView]) -> Iterator[Fault]:
    """Report quotas above a pool's capacity, and several of one team on one service.

    The sum of the slots promised on a pool must not exceed its slots. Rates are not
    summed over teams, since queues peak at different times, but the rate of one team
    must fit into the whole pool.
    """
    owners: dict[tuple[str, str], str] = {}
    promised: dict[str, int] = defaultdict(int)
    for name, quota in sorted(objects.quotas.items()):
        owner = owners.setdefault((quota.team, quota.service), name)
        if owner != name:
            expected = f"one quota of a team on a service, {owner!r} is one"
            yield Fault("team_quota", name, "team", repr(quota.team), expected)
        service = objects.services.get(quota.service)
        if service is None or service.pool not in views:
            continue
        slots = views[service.pool].size * objects.pools[service.pool].slots
        promised[service.pool] += quota.max_slots
        if promised[service.pool] > slots >= promised[service.pool] - quota.max_slots:
            found = f"{promised[service.pool]} with the quotas before it"
            expected = f"at most the {slots} slots of pool {service.pool!r}"
            yield Fault("team_quota", name, "max_slots", found, expected)
        needed = quota.requests_per_second * service.expected_run_ms / 1_000
        if needed > slots:
            found = f"{quota.requests_per_second:g}, which keeps {needed:g} slots busy"
            expected = f"at most the {slots} slots of pool {service.pool!r}"
            yield Fault("team_quota", name, "requests_per_second", found, expected)


def check_growth_plans(objects: ObjectSet) -> Iterator[Fault]:
    """Report plans whose `notice_ms` is not less than `until_ms`."""
    for name, plan in objects.growth_plans.items():
        if plan.notice_ms >= plan.until_ms:
            expected = f"less than until_ms = {plan.until_ms}"
            yield Fault("growth_plan", name, "notice_ms", str(plan.notice_ms), expected)
