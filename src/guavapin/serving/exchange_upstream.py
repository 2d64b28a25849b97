"""The record of one upstream at this seat: health, slots and limit; pure functions."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.limits import concurrency
from guavapin.limits import slots as slot_rules
from guavapin.limits.slots import SlotState
from guavapin.routing import health as health_rules
from guavapin.routing.health import UpstreamHealth
from guavapin.routing.verdict import Verdict

if TYPE_CHECKING:
    from guavapin.limits.concurrency import ConcurrencyLimit
    from guavapin.limits.slots import Slot
    from guavapin.routing.health import HealthSettings
    from guavapin.serving.exchange_settings import ExchangeSettings
    from guavapin.serving.route_table import Upstream


# Limits the contribution of one attempt to the mean answer times. Without the limit,
# long work that shares the path of short work looks like an overloaded upstream: with
# a limit of 10 and 5% long work, slots went out of use.
MAX_SLOWNESS = 3.0
# Loan numbers start from the creation time of the record, shifted by this many bits. A
# host that leaves and returns gets a new record, and a late message about a loan of the
# old record must not match a loan of the new one.
LOAN_NUMBER_BITS = 20


@dataclass(frozen=True, slots=True)
class Placement:
    """A slot on a host that is reserved for one attempt."""

    host: str
    address: str
    slot: Slot
    is_long: bool
    is_trial: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """State of one upstream at this seat.

    `long_running` is the number of slots in use for long requests.
    """

    upstream: Upstream
    health: UpstreamHealth
    slots: SlotState
    limit: ConcurrencyLimit
    long_running: int = 0


def takes_work(record: UpstreamRecord) -> bool:
    """Return whether requests other than trials and probes may go to the upstream."""
    return record.upstream.takes_work and health_rules.is_usable(record.health)


def usable_slots(record: UpstreamRecord, settings: HealthSettings, now_ms: int) -> int:
    """Return how many requests may run at once by share, limit and slow start."""
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
    if record.health.slow_start_since_ms < 0:
        return total
    return max(
        int(total * health_rules.slow_start_share(record.health, now_ms, settings)), 1
    )


def has_free_slot(record: UpstreamRecord, usable: int, now_ms: int) -> bool:
    """Return whether one more request may start; `usable` is from `usable_slots`."""
    if record.health.outstanding >= usable:
        return False
    is_idle_loan = any(
        not loan.in_use and now_ms < loan.until_ms for loan in record.slots.borrowed
    )
    return is_idle_loan or slot_rules.free_own(record.slots, now_ms) > 0


def changes_with_time(
    record: UpstreamRecord, settings: HealthSettings, now_ms: int
) -> bool:
    """Return whether the number of usable slots may change with time alone."""
    slots = record.slots
    ramps = health_rules.slow_start_share(record.health, now_ms, settings) < 1.0
    is_open = record.health.breaker is not health_rules.BreakerState.CLOSED
    has_loans = bool(slots.lent or slots.borrowed or slots.pending)
    is_bound = now_ms < slots.held_off_until_ms or bool(slots.previous_shares)
    return ramps or is_open or has_loans or is_bound or record.health.is_leaving


def with_declared_slots(record: UpstreamRecord, declared: int) -> UpstreamRecord:
    """Return the record with a new limit if the declared number of slots changed."""
    if declared == record.limit.declared:
        return record
    return replace(record, limit=concurrency.new_limit(declared))


def new_record(
    upstream: Upstream,
    settings: ExchangeSettings,
    share: int,
    declared: int,
    held_off_until_ms: int,
    now_ms: int,
) -> UpstreamRecord:
    """Return the record of an upstream without history."""
    slots = SlotState(
        upstream.host,
        settings.seat,
        settings.incarnation,
        share,
        held_off_until_ms,
        next_number=(now_ms << LOAN_NUMBER_BITS) + 1,
    )
    limit = concurrency.new_limit(declared)
    return UpstreamRecord(upstream, UpstreamHealth(), slots, limit)


def apply_attempt_end(
    record: UpstreamRecord,
    placement: Placement,
    verdict: Verdict | None,
    slowness: float,
    may_eject: bool,
    settings: ExchangeSettings,
    now_ms: int,
    keeps_slot: bool = False,
) -> UpstreamRecord:
    """Return the record after an attempt; `verdict` is None if it was cancelled.

    With `keeps_slot` the slot stays in use until `release_slot`.
    """
    limit, health = record.limit, record.health
    slowness = min(slowness, MAX_SLOWNESS)
    if verdict is None:
        health = health_rules.cancel_attempt(health, placement.is_trial)
    else:
        health = health_rules.end_attempt(
            health,
            verdict,
            slowness,
            may_eject,
            now_ms,
            settings.health,
            placement.is_trial,
        )
        if verdict is Verdict.SUCCESS and settings.adapts_limit:
            outstanding = record.health.outstanding
            limit = concurrency.observe_answer(limit, slowness, outstanding)
    if keeps_slot:
        return replace(record, health=health, limit=limit)
    return UpstreamRecord(
        record.upstream,
        health,
        slot_rules.release(record.slots, placement.slot, now_ms),
        limit,
        record.long_running - placement.is_long,
    )


def release_slot(
    record: UpstreamRecord, placement: Placement, now_ms: int
) -> UpstreamRecord:
    """Return the record after a cancelled attempt has ended at the upstream too."""
    return replace(
        record,
        slots=slot_rules.release(record.slots, placement.slot, now_ms),
        long_running=record.long_running - placement.is_long,
    )


def is_in_use(record: UpstreamRecord) -> bool:
    """Return whether slots of the upstream are in use, lent or borrowed."""
    slots = record.slots
    return bool(record.health.outstanding or slots.used or slots.lent or slots.borrowed)
