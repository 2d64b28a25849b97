"""The upstreams of one pool in the own zone, and the choice among them.

The task `exchanges` owns the pools. Each event replaces one frozen `UpstreamRecord` and
updates its membership in the candidate sets, so a request costs O(1) in the number of
upstreams.
"""

from __future__ import annotations

import copy
import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.limits import loans
from guavapin.limits import slots as slot_rules
from guavapin.limits.shares import seat_share
from guavapin.routing import health as health_rules
from guavapin.routing.health import BreakerState
from guavapin.routing.health import UpstreamHealth
from guavapin.routing.indexed_set import IndexedSet
from guavapin.routing.picker import PickRequest
from guavapin.routing.picker import long_work_upstreams
from guavapin.serving import exchange_upstream
from guavapin.serving.exchange_upstream import Placement
from guavapin.serving.exchange_upstream import UpstreamRecord

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from guavapin.limits.slots import SlotState
    from guavapin.routing.verdict import Verdict
    from guavapin.serving.exchange_settings import ExchangeSettings
    from guavapin.serving.route_table import Upstream

# An upstream that announced its leaving gets no work for this time if neither the list
# of hosts nor an operator confirms the leaving.
LEAVING_TIMEOUT_MS = 60_000
MAX_PICK_ATTEMPTS = 3

log = logging.getLogger("guavapin.exchanges")


class ExchangePool:
    """Upstreams of one pool; `records` and `health` are keyed by host."""

    def __init__(
        self, name: str, settings: ExchangeSettings, held_off_until_ms: int
    ) -> None:
        self.name = name
        self.records: dict[str, UpstreamRecord] = {}
        self.health: dict[str, UpstreamHealth] = {}
        self.settings = settings
        self._held_off_until_ms = held_off_until_ms
        self._free_hosts = IndexedSet()
        self._long_free_hosts = IndexedSet()
        self._trial_hosts = IndexedSet()
        self._time_dependent_hosts = IndexedSet()
        self._long_hosts: frozenset[str] = frozenset()
        self._ejected_hosts: set[str] = set()
        self._usable_slots: dict[str, int] = {}
        self.hosts: tuple[str, ...] = ()
        self._leaving_until_ms: dict[str, int] = {}
        self._max_ejected_share = 0.0
        self.total_slots = 0
        self.running = 0
        self.long_running = 0

    def configure(
        self,
        upstreams: Iterable[Upstream],
        slots: int,
        seats: int,
        max_ejected_share: float,
        busy_elsewhere: frozenset[str],
        now_ms: int,
    ) -> None:
        """Apply a route table; hosts that left the pool are kept while in use.

        This seat still uses the hosts in `busy_elsewhere` under another pool. If such
        a host is new here, its slots are held off until that use must have ended.
        """
        self._max_ejected_share = max_ejected_share
        present = {upstream.host: upstream for upstream in upstreams}
        for host, upstream in present.items():
            share = seat_share(slots, seats, self.settings.seat, host)
            hold_off_end_ms = self._held_off_until_ms
            if host in busy_elsewhere:
                hold_off_end_ms = max(
                    hold_off_end_ms, now_ms + self.settings.loans.hold_off_ms
                )
            self._add_or_update(upstream, share, slots, hold_off_end_ms, now_ms)
        for host in list(self.records):
            if host not in present:
                self._remove(host, now_ms)
        self.hosts = tuple(present)
        self._long_hosts = frozenset(
            long_work_upstreams(self.name, present, self.settings.long_share)
        )
        for host in list(self.records):
            self.refresh(host, now_ms)

    def end_hold_off(self, hold_off_end_ms: int, now_ms: int) -> None:
        """Lift the hold-off of the process start, which ends at `hold_off_end_ms`.

        Hold-offs with another end stay in effect.
        """
        self._held_off_until_ms = now_ms
        for host, record in list(self.records.items()):
            if record.slots.held_off_until_ms == hold_off_end_ms:
                slots = replace(record.slots, held_off_until_ms=now_ms)
                self.set_slots(host, slots, now_ms)

    @property
    def long_share(self) -> float:
        """Fraction of the slots that long work may use."""
        return self.settings.long_share

    @property
    def free_upstreams(self) -> int:
        """Number of upstreams with a free slot."""
        return len(self._free_hosts)

    @property
    def usable_upstreams(self) -> int:
        """Number of upstreams that take work, with or without a free slot."""
        return len(self._usable_slots)

    @property
    def can_place(self) -> bool:
        """Whether an attempt may start now, on a free slot or as a trial."""
        return bool(len(self._free_hosts) or len(self._trial_hosts))

    @property
    def due_trials(self) -> int:
        """Number of upstreams whose trial is due."""
        return len(self._trial_hosts)

    def allows_long(self) -> bool:
        """Return whether long work may occupy one more slot."""
        bound = max(int(self.total_slots * self.settings.long_share), 1)
        return self.long_running < bound

    def place(
        self,
        request: PickRequest,
        deadline_ms: int,
        is_idempotent: bool,
        now_ms: int,
        rng: random.Random,
    ) -> Placement | None:
        """Reserve a slot for an attempt; returns None if no slot is available.

        Only an idempotent request may serve as the trial of a half-open upstream,
        because it can be repeated elsewhere if the trial fails.
        """
        if is_idempotent and not request.is_long and not request.tried:
            trial = self._place_trial(deadline_ms, now_ms)
            if trial is not None:
                return trial
        candidates = self._free_hosts.items
        if request.is_long and len(self._long_free_hosts):
            candidates = self._long_free_hosts.items
        for _ in range(MAX_PICK_ATTEMPTS):
            host = self.settings.picker.pick(
                candidates, self.health, request, now_ms, rng
            )
            if host is None:
                return None
            placement = self._reserve(host, request.is_long, deadline_ms, now_ms)
            if placement is not None:
                return placement
            # The only free slot of this host is a loan that ends before the deadline.
            request = replace(request, tried=(*request.tried, host))
        return None

    def preview(
        self,
        request: PickRequest,
        deadline_ms: int,
        is_idempotent: bool,
        now_ms: int,
        rng: random.Random,
    ) -> Placement | None:
        """Return what `place` would, on a copy of the state.

        Records are frozen, so that the tables and sets which hold them are copied.
        """
        pool = copy.copy(self)
        pool.records, pool.health = dict(self.records), dict(self.health)
        pool._usable_slots = dict(self._usable_slots)
        pool._ejected_hosts = set(self._ejected_hosts)
        pool._free_hosts = IndexedSet(self._free_hosts.items)
        pool._long_free_hosts = IndexedSet(self._long_free_hosts.items)
        pool._trial_hosts = IndexedSet(self._trial_hosts.items)
        pool._time_dependent_hosts = IndexedSet(self._time_dependent_hosts.items)
        return pool.place(request, deadline_ms, is_idempotent, now_ms, rng)

    def place_probe(self, deadline_ms: int, now_ms: int) -> Placement | None:
        """Reserve a slot for an active probe of an upstream whose trial is due."""
        return self._place_trial(deadline_ms, now_ms)

    def end(
        self,
        placement: Placement,
        verdict: Verdict | None,
        slowness: float,
        now_ms: int,
        keeps_slot: bool = False,
    ) -> None:
        """Record the end of an attempt; `verdict` is None if it was cancelled.

        Its slot is released, with `keeps_slot` only by `release`.
        """
        record = self.records.get(placement.host)
        if record is None:
            return
        if not keeps_slot:
            self.running -= 1
            self.long_running -= placement.is_long
        record = exchange_upstream.apply_attempt_end(
            record,
            placement,
            verdict,
            slowness,
            self._may_eject(),
            self.settings,
            now_ms,
            keeps_slot,
        )
        self._store(placement.host, record, now_ms)

    def release(self, placement: Placement, now_ms: int) -> None:
        """Release the slot of a cancelled attempt that has ended at the upstream."""
        record = self.records.get(placement.host)
        if record is None:
            return
        self.running -= 1
        self.long_running -= placement.is_long
        record = exchange_upstream.release_slot(record, placement, now_ms)
        self._store(placement.host, record, now_ms)

    def mark_leaving(self, host: str, now_ms: int) -> bool:
        """Stop new work on `host`; returns False if unknown or leaving already."""
        record = self.records.get(host)
        if record is None or record.health.is_leaving:
            return False
        self._leaving_until_ms[host] = now_ms + LEAVING_TIMEOUT_MS
        health = health_rules.mark_leaving(record.health)
        self._store(host, replace(record, health=health), now_ms)
        return True

    def tick(self, now_ms: int) -> None:
        """Update the upstreams whose number of usable slots depends on the time."""
        for host in self.time_dependent_hosts():
            record = self.records[host]
            if now_ms >= self._leaving_until_ms.get(host, now_ms + 1):
                del self._leaving_until_ms[host]
                # The host may have been replaced in the meantime, so a trial decides.
                health = replace(
                    health_rules.mark_leaving(record.health, False),
                    breaker=BreakerState.HALF_OPEN,
                    cool_down_ms=self.settings.health.cool_down_ms,
                )
                record = replace(record, health=health)
            slots = loans.drop_expired(record.slots, self.settings.loans, now_ms)
            self._store(host, replace(record, slots=slots), now_ms)

    def busy_hosts(self) -> frozenset[str]:
        """Return the hosts with slots in use, lent or borrowed."""
        return frozenset(
            host
            for host, record in self.records.items()
            if exchange_upstream.is_in_use(record)
        )

    def time_dependent_hosts(self) -> tuple[str, ...]:
        """Return the hosts whose number of usable slots depends on the time."""
        return tuple(self._time_dependent_hosts.items)

    def set_slots(self, host: str, slots: SlotState, now_ms: int) -> None:
        """Replace the slot state of `host` after a step of the loan protocol."""
        self._store(host, replace(self.records[host], slots=slots), now_ms)

    def refresh(self, host: str, now_ms: int) -> None:
        """Update the candidate sets from the record of `host`."""
        record, settings = self.records[host], self.settings.health
        usable_slots = exchange_upstream.usable_slots(record, settings, now_ms)
        self.total_slots += usable_slots - self._usable_slots.pop(host, 0)
        if exchange_upstream.takes_work(record):
            self._usable_slots[host] = usable_slots
        has_free_slot = exchange_upstream.has_free_slot(record, usable_slots, now_ms)
        self._free_hosts.set_member(host, has_free_slot)
        self._long_free_hosts.set_member(
            host, has_free_slot and host in self._long_hosts
        )
        is_due = health_rules.is_trial_due(record.health, now_ms)
        self._trial_hosts.set_member(host, is_due and record.upstream.takes_work)
        changes_with_time = exchange_upstream.changes_with_time(
            record, settings, now_ms
        )
        self._time_dependent_hosts.set_member(host, changes_with_time)
        is_open = record.health.breaker is not BreakerState.CLOSED
        if is_open != (host in self._ejected_hosts):
            self._set_ejected(host, is_open)

    def _set_ejected(self, host: str, is_open: bool) -> None:
        text = "circuit breaker opened" if is_open else "circuit breaker closed"
        log.info(text, extra={"host": host, "pool": self.name})
        if is_open:
            self._ejected_hosts.add(host)
        else:
            self._ejected_hosts.discard(host)

    def _may_eject(self) -> bool:
        if not self.settings.ejects:
            return False
        allowed = health_rules.max_ejected(len(self.records), self._max_ejected_share)
        return len(self._ejected_hosts) < allowed

    def _place_trial(self, deadline_ms: int, now_ms: int) -> Placement | None:
        if not len(self._trial_hosts):
            return None
        host = self._trial_hosts.items[-1]
        record = self.records[host]
        if record.health.breaker is BreakerState.OPEN:
            health = health_rules.start_trial(record.health)
            record = replace(record, health=health)
            self.records[host], self.health[host] = record, health
        placement = self._reserve(host, False, deadline_ms, now_ms)
        if placement is None:
            self._trial_hosts.discard(host)
            return None
        return replace(placement, is_trial=True)

    def _reserve(
        self, host: str, is_long: bool, deadline_ms: int, now_ms: int
    ) -> Placement | None:
        record = self.records[host]
        slots, slot = slot_rules.reserve(record.slots, deadline_ms, now_ms)
        if slot is None:
            return None
        self.running += 1
        self.long_running += is_long
        record = UpstreamRecord(
            record.upstream,
            health_rules.start_attempt(record.health),
            slots,
            record.limit,
            record.long_running + is_long,
        )
        self._store(host, record, now_ms)
        return Placement(host, record.upstream.address, slot, is_long)

    def _store(self, host: str, record: UpstreamRecord, now_ms: int) -> None:
        self.records[host] = record
        self.health[host] = record.health
        self.refresh(host, now_ms)

    def _add_or_update(
        self,
        upstream: Upstream,
        share: int,
        declared: int,
        held_off_until_ms: int,
        now_ms: int,
    ) -> None:
        settings = self.settings
        record = self.records.get(upstream.host)
        if record is None:
            record = exchange_upstream.new_record(
                upstream, settings, share, declared, held_off_until_ms, now_ms
            )
        else:
            slots = slot_rules.change_share(record.slots, share, settings.loans, now_ms)
            record = exchange_upstream.with_declared_slots(
                replace(record, upstream=upstream, slots=slots), declared
            )
        self._store(upstream.host, record, now_ms)

    def _remove(self, host: str, now_ms: int) -> None:
        """Remove a host, or stop its new work while it runs attempts or has loans."""
        record = self.records[host]
        if exchange_upstream.is_in_use(record):
            upstream = replace(record.upstream, takes_work=False)
            self._store(host, replace(record, upstream=upstream), now_ms)
            return
        for host_set in (
            self._free_hosts,
            self._long_free_hosts,
            self._trial_hosts,
            self._time_dependent_hosts,
        ):
            host_set.discard(host)
        self.total_slots -= self._usable_slots.pop(host, 0)
        self._ejected_hosts.discard(host)
        self._leaving_until_ms.pop(host, None)
        del self.records[host], self.health[host]
