"""Pools, queues and services of the current route table."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.limits.slots import covering_timeout
from guavapin.serving.exchange_messages import PoolSupply
from guavapin.serving.exchange_pool import ExchangePool
from guavapin.serving.exchange_queue import PoolQueue
from guavapin.serving.exchange_service import ServiceState
from guavapin.serving.route_table import RouteTable
from guavapin.serving.route_table import match_service

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.objects.model import Service
    from guavapin.routing.zones import ZoneReport
    from guavapin.serving.exchange_settings import ExchangeSettings
    from guavapin.serving.messages import Headers


class ExchangeRouter:
    """Holds the state of each pool and service for the task `exchanges`."""

    def __init__(self, settings: ExchangeSettings, now_ms: int) -> None:
        hold_off_ms = 0 if settings.is_first_start else settings.loans.hold_off_ms
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.pools: dict[str, ExchangePool] = {}
        self.queues: dict[str, PoolQueue] = {}
        self.services: dict[str, ServiceState] = {}
        self.seats = 1
        self.read_reports: Callable[[str], tuple[ZoneReport, ...]] = lambda pool: ()
        self._reports: dict[str, tuple[ZoneReport, ...]] = {}
        self._started_ms = now_ms
        self._held_off_until_ms = now_ms + hold_off_ms
        self._table = RouteTable()

    def configure(self, table: RouteTable, now_ms: int) -> None:
        """Apply a route table; a removed pool keeps its work in progress."""
        self._table = table
        self.seats = max(table.seats.get(self.settings.zone, 1), 1)
        services_by_name = {service.name: service for service in table.services}
        services_by_name.update(
            {item.name: item for item in table.services_by_host.values()}
        )
        timeouts = (service.timeout_ms for service in services_by_name.values())
        loans = covering_timeout(self.settings.loans, max(timeouts, default=0))
        self.settings = replace(self.settings, loans=loans)
        if not self.pools and now_ms < self._held_off_until_ms:
            self._held_off_until_ms = self._started_ms + loans.hold_off_ms
        for name in {*table.pools, *self.pools}:
            self._configure_pool(name, now_ms)
        for service in services_by_name.values():
            self._configure_service(service, now_ms)

    @property
    def generation(self) -> int:
        """Return the generation of the configuration in force."""
        return self._table.generation

    def match(self, headers: Headers, target: str) -> Service | None:
        """Return the service that a request is for, None if no route matches."""
        host = b""
        for name, value in headers:
            if name == b"host":
                host = value
                break
        return match_service(self._table, host.decode("latin-1"), target)

    def pool_of_host(self, host: str) -> ExchangePool | None:
        """Return a pool with a record of `host`, preferably one where it takes work."""
        candidates = [pool for pool in self.pools.values() if host in pool.records]
        for pool in candidates:
            if pool.records[host].upstream.takes_work:
                return pool
        return candidates[0] if candidates else None

    def zone_reports(self, pool: str) -> tuple[ZoneReport, ...]:
        """Return the reports of other zones about a pool.

        The result is cached until the next report or the next second, because
        computing it costs one step for each peer.
        """
        reports = self._reports.get(pool)
        if reports is None:
            reports = self._reports[pool] = self.read_reports(pool)
        return reports

    def invalidate_reports(self) -> None:
        """Discard the cached reports of other zones."""
        self._reports.clear()

    def end_hold_off(self, now_ms: int) -> None:
        """End the hold-off, because the previous process has released its slots."""
        hold_off_end_ms, self._held_off_until_ms = self._held_off_until_ms, now_ms
        for pool in self.pools.values():
            pool.end_hold_off(hold_off_end_ms, now_ms)

    def lent_slots(self, now_ms: int) -> int:
        """Return the number of slots that are lent to other seats."""
        return sum(
            now_ms < loan.until_ms
            for pool in self.pools.values()
            for record in pool.records.values()
            for loan in record.slots.lent
        )

    def supply(self) -> dict[str, PoolSupply]:
        """Return the supply of this seat in each pool."""
        return {
            name: PoolSupply(
                pool.usable_upstreams,
                pool.total_slots,
                pool.running,
                len(self.queues[name].waiting),
            )
            for name, pool in self.pools.items()
        }

    def _configure_pool(self, name: str, now_ms: int) -> None:
        pool = self.pools.get(name)
        if pool is None:
            pool = ExchangePool(name, self.settings, self._held_off_until_ms)
            self.pools[name] = pool
            self.queues[name] = PoolQueue(pool, self.settings)
        pool.settings = self.settings
        spec = self._table.pools.get(name)
        members = [
            upstream
            for upstream in self._table.upstreams.get(name, ())
            if upstream.zone == self.settings.zone
        ]
        slots = spec.slots if spec else 0
        share = spec.max_ejected_share if spec else 0.0
        busy = (item.busy_hosts() for item in self.pools.values() if item is not pool)
        pool.configure(
            members, slots, self.seats, share, frozenset().union(*busy), now_ms
        )

    def _configure_service(self, service: Service, now_ms: int) -> None:
        state = self.services.get(service.name)
        if state is None:
            state = ServiceState(service, self.settings.budget)
            self.services[service.name] = state
        objects = self._table.objects
        quotas = objects.quotas.values() if objects else ()
        state.configure(
            service,
            [quota for quota in quotas if quota.service == service.name],
            sum(self._table.seats.values()),
            self._global_seat_number(),
            now_ms,
        )

    def _global_seat_number(self) -> int:
        """Return the number of this seat, counted through the seats of all zones."""
        seats_before = 0
        for zone in sorted(self._table.seats):
            if zone == self.settings.zone:
                return seats_before + self.settings.seat
            seats_before += self._table.seats[zone]
        return self.settings.seat
