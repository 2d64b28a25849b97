"""The upstreams of one pool in the own zone, and the choice among them.

Owned by the task `exchanges`. Each event changes one frozen `UpstreamRecord` and its
membership in the sets of candidates, so that a request costs O(1) in the number of
upstreams.
"""

from __future__ import annotations

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

# How long an upstream that announced its leaving is left alone when neither the list
# nor an operator has confirmed it.
LEAVING_MS = 60_000
MAX_PICKS = 3

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
        self._free = IndexedSet()
        self._long_free = IndexedSet()
        self._trials = IndexedSet()
        self._changing = IndexedSet()
        self._long_hosts: frozenset[str] = frozenset()
        self._ejected: set[str] = set()
        self._room: dict[str, int] = {}
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

        A new host in `busy_elsewhere` is in use by this seat under another pool, so
        its slots are held off until that use must have ended.
        """
        self._max_ejected_share = max_ejected_share
        present = {upstream.host: upstream for upstream in upstreams}
        for host, upstream in present.items():
            share = seat_share(slots, seats, self.settings.seat, host)
            held_ms = self._held_off_until_ms
            if host in busy_elsewhere:
                held_ms = max(held_ms, now_ms + self.settings.loans.hold_off_ms)
            self._add_or_change(upstream, share, slots, held_ms, now_ms)
        for host in list(self.records):
            if host not in present:
                self._remove(host, now_ms)
        self.hosts = tuple(present)
        self._long_hosts = frozenset(
            long_work_upstreams(self.name, present, self.settings.long_share)
        )
        for host in list(self.records):
            self.refresh(host, now_ms)

    def end_hold_off(self, held_ms: int, now_ms: int) -> None:
        """Lift the hold-off of the start, which ends at `held_ms`, and no other."""
        self._held_off_until_ms = now_ms
        for host, record in list(self.records.items()):
            if record.slots.held_off_until_ms == held_ms:
                slots = replace(record.slots, held_off_until_ms=now_ms)
                self.set_slots(host, slots, now_ms)

    @property
    def long_share(self) -> float:
        """Part of the slots that long work may use."""
        return self.settings.long_share

    @property
    def free_upstreams(self) -> int:
        """Number of upstreams on which a request may start."""
        return len(self._free)

    @property
    def usable_upstreams(self) -> int:
        """Number of upstreams that take work, whether they have room or not."""
        return len(self._room)

    @property
    def can_place(self) -> bool:
        """Whether any attempt may start: on a free slot, or as a trial."""
        return bool(len(self._free) or len(self._trials))

    @property
    def due_trials(self) -> int:
        """Number of upstreams whose trial may start."""
        return len(self._trials)

    def allows_long(self) -> bool:
        """Tell whether long work may use one more slot."""
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
        """Reserve a slot for an attempt, or return None when there is none.

        A trial of a half-open upstream takes an idempotent request, which can be
        repeated elsewhere when the trial fails.
        """
        if is_idempotent and not request.is_long and not request.tried:
            trial = self._place_trial(deadline_ms, now_ms)
            if trial is not None:
                return trial
        candidates = self._free.items
        if request.is_long and len(self._long_free):
            candidates = self._long_free.items
        for _ in range(MAX_PICKS):
            host = self.settings.picker.pick(
                candidates, self.health, request, now_ms, rng
            )
            if host is None:
                return None
            placement = self._reserve(host, request.is_long, deadline_ms, now_ms)
            if placement is not None:
                return placement
            # Only a loan that ends before the deadline is left on this host.
            request = replace(request, tried=(*request.tried, host))
        return None

    def place_probe(self, deadline_ms: int, now_ms: int) -> Placement | None:
        """Reserve a slot for an active probe of an upstream whose trial is due."""
        return self._place_trial(deadline_ms, now_ms)

    def end(
        self,
        placement: Placement,
        verdict: Verdict | None,
        slowness: float,
        now_ms: int,
    ) -> None:
        """Give a slot back; `verdict` is None when the attempt was cancelled."""
        record = self.records.get(placement.host)
        if record is None:
            return
        self.running -= 1
        self.long_running -= placement.is_long
        record = exchange_upstream.after_attempt(
            record,
            placement,
            verdict,
            slowness,
            self._may_eject(),
            self.settings,
            now_ms,
        )
        self._store(placement.host, record, now_ms)

    def mark_leaving(self, host: str, now_ms: int) -> bool:
        """Stop new work on `host`; returns whether this was news."""
        record = self.records.get(host)
        if record is None or record.health.is_leaving:
            return False
        self._leaving_until_ms[host] = now_ms + LEAVING_MS
        health = health_rules.mark_leaving(record.health)
        self._store(host, replace(record, health=health), now_ms)
        return True

    def tick(self, now_ms: int) -> None:
        """Look at the upstreams whose room changes by the passing of time."""
        for host in self.changing_hosts():
            record = self.records[host]
            if now_ms >= self._leaving_until_ms.get(host, now_ms + 1):
                del self._leaving_until_ms[host]
                # It may have been replaced meanwhile: a trial decides.
                health = replace(
                    health_rules.mark_leaving(record.health, False),
                    breaker=BreakerState.HALF_OPEN,
                    cool_down_ms=self.settings.health.cool_down_ms,
                )
                record = replace(record, health=health)
            slots = loans.drop_expired(record.slots, self.settings.loans, now_ms)
            self._store(host, replace(record, slots=slots), now_ms)

    def busy_hosts(self) -> frozenset[str]:
        """Return the hosts on which attempts run or loans are out."""
        return frozenset(
            host
            for host, record in self.records.items()
            if exchange_upstream.is_in_use(record)
        )

    def changing_hosts(self) -> tuple[str, ...]:
        """Return the hosts whose room changes by the passing of time."""
        return tuple(self._changing.items)

    def set_slots(self, host: str, slots: SlotState, now_ms: int) -> None:
        """Store the outcome of a step of the loan protocol."""
        self._store(host, replace(self.records[host], slots=slots), now_ms)

    def refresh(self, host: str, now_ms: int) -> None:
        """Bring the sets of candidates in line with the record of `host`."""
        record, settings = self.records[host], self.settings.health
        room = exchange_upstream.usable_slots(record, settings, now_ms)
        self.total_slots += room - self._room.pop(host, 0)
        if exchange_upstream.takes_work(record):
            self._room[host] = room
        has_room = exchange_upstream.has_room(record, room, now_ms)
        self._free.set_member(host, has_room)
        self._long_free.set_member(host, has_room and host in self._long_hosts)
        is_due = health_rules.is_trial_due(record.health, now_ms)
        self._trials.set_member(host, is_due and record.upstream.takes_work)
        changing = exchange_upstream.is_changing(record, settings, now_ms)
        self._changing.set_member(host, changing)
        is_open = record.health.breaker is not BreakerState.CLOSED
        if is_open != (host in self._ejected):
            self._set_ejected(host, is_open)

    def _set_ejected(self, host: str, is_open: bool) -> None:
        text = "circuit breaker opened" if is_open else "circuit breaker closed"
        log.info(text, extra={"host": host, "pool": self.name})
        if is_open:
            self._ejected.add(host)
        else:
            self._ejected.discard(host)

    def _may_eject(self) -> bool:
        if not self.settings.ejects:
            return False
        allowed = health_rules.max_ejected(len(self.records), self._max_ejected_share)
        return len(self._ejected) < allowed

    def _place_trial(self, deadline_ms: int, now_ms: int) -> Placement | None:
        if not len(self._trials):
            return None
        host = self._trials.items[-1]
        record = self.records[host]
        if record.health.breaker is BreakerState.OPEN:
            health = health_rules.start_trial(record.health)
            record = replace(record, health=health)
            self.records[host], self.health[host] = record, health
        placement = self._reserve(host, False, deadline_ms, now_ms)
        if placement is None:
            self._trials.discard(host)
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

    def _add_or_change(
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
            record = exchange_upstream.with_limit(
                replace(record, upstream=upstream, slots=slots), declared
            )
        self._store(upstream.host, record, now_ms)

    def _remove(self, host: str, now_ms: int) -> None:
        """Take a host out; its record stays while attempts run or loans are out."""
        record = self.records[host]
        if exchange_upstream.is_in_use(record):
            upstream = replace(record.upstream, takes_work=False)
            self._store(host, replace(record, upstream=upstream), now_ms)
            return
        for names in (self._free, self._long_free, self._trials, self._changing):
            names.discard(host)
        self.total_slots -= self._room.pop(host, 0)
        self._ejected.discard(host)
        self._leaving_until_ms.pop(host, None)
        del self.records[host], self.health[host]
