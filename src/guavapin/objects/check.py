"""Checks a whole object set; all faults are reported at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.objects.check_budgets import check_budgets
from guavapin.objects.check_budgets import check_growth_plans
from guavapin.objects.check_budgets import check_quotas
from guavapin.objects.check_references import check_hosts
from guavapin.objects.check_references import check_names
from guavapin.objects.check_references import check_references
from guavapin.objects.check_references import check_spare_pools
from guavapin.objects.check_services import check_services
from guavapin.objects.check_waves import check_waves
from guavapin.objects.index import pool_views

if TYPE_CHECKING:
    from guavapin.objects.model import Fault
    from guavapin.objects.model import ObjectSet


def check(objects: ObjectSet) -> tuple[Fault, ...]:
    """Return every fault of the set, none if it may be published.

    The values of single fields are checked by `guavapin.objects.codec`.
    """
    views = pool_views(objects)
    return (
        *check_names(objects),
        *check_references(objects),
        *check_spare_pools(objects),
        *check_hosts(objects),
        *check_budgets(views),
        *check_waves(objects, views),
        *check_quotas(objects, views),
        *check_services(objects),
        *check_growth_plans(objects),
    )
