"""The record of one upstream at this seat: health, slots, limit; pure."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.limits import concurrency
from guavapin.limits import slots as slot_rules
from guavapin.routing import health as health_rules

if TYPE_CHECKING:
    from guavapin.limits.concurrency import ConcurrencyLimit
    from guavapin.limits.slots import SlotState
    from guavapin.routing.health import HealthSettings
    from guavapin.routing.health import UpstreamHealth
    from guavapin.serving.route_table import Upstream


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """All that this seat knows of one upstream.

    `long_running` counts the long requests among the outstanding ones.
    """

    upstream: Upstream
    health: UpstreamHealth
    slots: SlotState
    limit: ConcurrencyLimit
    long_running: int = 0


def takes_work(record: UpstreamRecord) -> bool:
    """Tell whether ordinary requests may go to the upstream at all."""
    return record.upstream.takes_work and health_rules.is_usable(record.health)


def usable_slots(record: UpstreamRecord, settings: HealthSettings, now_ms: int) -> int:
    """Return how many requests may run at once, by share, limit and slow start."""
    if not takes_work(record):
        return 0
    slots = record.slots
    total = slot_rules.effective_share(slots, now_ms)
    if slots.lent or slots.borrowed:
        total -= sum(now_ms < loan.until_ms for loan in slots.lent)
        total += sum(now_ms < loan.until_ms for loan in slots.borrowed)
    total = min(total, concurrency.allowed(record.limit))
    if total <= 0:
        return 0
    if record.health.returned_ms < 0:
        return total
    return max(int(total * health_rules.ramp(record.health, now_ms, settings)), 1)


def has_room(record: UpstreamRecord, usable: int, now_ms: int) -> bool:
    """Tell whether one more request may start; `usable` is from `usable_slots`."""
    if record.health.outstanding >= usable:
        return False
    is_idle_loan = any(
        not loan.in_use and now_ms < loan.until_ms for loan in record.slots.borrowed
    )
    return is_idle_loan or slot_rules.free_own(record.slots, now_ms) > 0


def is_changing(record: UpstreamRecord, settings: HealthSettings, now_ms: int) -> bool:
    """Tell whether room may appear by the passing of time alone."""
    slots = record.slots
    ramps = health_rules.ramp(record.health, now_ms, settings) < 1.0
    is_open = record.health.breaker is not health_rules.Breaker.CLOSED
    has_loans = bool(slots.lent or slots.borrowed or slots.asked)
    is_bound = now_ms < slots.held_off_until_ms or bool(slots.former)
    return ramps or is_open or has_loans or is_bound or record.health.is_leaving


def with_limit(record: UpstreamRecord, declared: int) -> UpstreamRecord:
    """Return the record for another declared number of slots of the upstream."""
    if declared == record.limit.declared:
        return record
    return replace(record, limit=concurrency.new_limit(declared))
