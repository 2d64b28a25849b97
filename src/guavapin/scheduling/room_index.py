"""Usable hosts by pool, in order of their free processor time.

A search for a host begins at the first one with enough free processor time, so that its
cost does not grow with the fleet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sortedcontainers import SortedList

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from guavapin.scheduling.host import Host


class PoolRoom:
    """Some hosts of one pool, sorted by free processor time and then by id."""

    def __init__(self, hosts: Iterable[Host] = ()) -> None:
        self._order: SortedList[tuple[int, str]] = SortedList()
        # Each host with the free processor time and the rack under which it is listed.
        self._hosts: dict[str, tuple[Host, int, str]] = {}
        self._racks: dict[str, dict[str, Host]] = {}
        for host in hosts:
            self.put(host)

    def __len__(self) -> int:
        return len(self._hosts)

    @property
    def max_free_cpu(self) -> int:
        """Return the most free processor time of a host, in thousandths of a core."""
        return self._order[-1][0] if self._order else -1

    def put(self, host: Host) -> None:
        """Add a host, or sort it anew."""
        free_cpu, rack = host.free.cpu_millis, host.registration.rack
        known = self._hosts.get(host.executor_id)
        if known == (host, free_cpu, rack):
            return
        if known is not None:
            self.remove(host.executor_id)
        self._hosts[host.executor_id] = (host, free_cpu, rack)
        self._order.add((free_cpu, host.executor_id))
        self._racks.setdefault(rack, {})[host.executor_id] = host

    def update(self, host: Host, now_ms: int) -> None:
        """Sort a host anew after a start, or remove it if it takes no further one."""
        if host.is_usable(now_ms):
            self.put(host)
        else:
            self.remove(host.executor_id)

    def remove(self, executor_id: str) -> None:
        """Remove the host that was put here with this id, if it is still here."""
        known = self._hosts.pop(executor_id, None)
        if known is not None:
            _, free_cpu, rack = known
            self._order.remove((free_cpu, executor_id))
            del self._racks[rack][executor_id]

    def hosts(self) -> list[Host]:
        """Return all hosts in order."""
        return [self._hosts[executor_id][0] for _, executor_id in self._order]

    def hosts_in_rack(self, rack: str) -> Iterable[Host]:
        """Return the hosts in a rack, in no particular order."""
        return self._racks.get(rack, {}).values()

    def least_free_first(self, min_free_cpu: int) -> Iterator[Host]:
        """Return the hosts with at least this much free processor time, in order."""
        for _, executor_id in self._order.irange(minimum=(min_free_cpu, "")):
            yield self._hosts[executor_id][0]

    def most_free_first(self) -> Iterator[Host]:
        """Return the hosts from the most free processor time to the least."""
        keys = sorted(self._order, key=lambda key: (-key[0], key[1]))
        for _, executor_id in keys:
            yield self._hosts[executor_id][0]


class RoomIndex:
    """The usable hosts of all pools.

    Hosts report each change of their usability and of their free resources; `refresh`
    applies these changes.
    """

    def __init__(self) -> None:
        self._pools: dict[str, PoolRoom] = {}
        self._pool_by_host: dict[Host, str] = {}
        # Keys in the order of the changes; that of a set would differ between plays.
        self._changed: dict[Host, None] = {}
        # Hosts that become usable by the passage of time alone.
        self._set_aside: dict[Host, None] = {}

    def mark_changed(self, host: Host) -> None:
        """Record that a host has changed."""
        self._changed[host] = None

    def pool(self, name: str) -> PoolRoom:
        """Return the usable hosts of a pool, as of the last refresh."""
        return self._pools.setdefault(name, PoolRoom())

    def set_aside_hosts(self) -> list[Host]:
        """Return the hosts that were set aside at the last refresh."""
        return [*self._set_aside]

    def refresh(self, now_ms: int) -> None:
        """Apply the changes of hosts since the last refresh."""
        due = [host for host in self._set_aside if now_ms >= host.set_aside_until_ms]
        if not due and not self._changed:
            return
        changed, self._changed = self._changed | dict.fromkeys(due), {}
        # A new incarnation of an executor has the same id, so the previous one is
        # removed before it is added.
        for host in changed:
            self._remove_if_unusable(host, now_ms)
        for host in changed:
            if host.is_usable(now_ms):
                self.pool(host.pool).put(host)
                self._pool_by_host[host] = host.pool

    def _remove_if_unusable(self, host: Host, now_ms: int) -> None:
        if now_ms < host.set_aside_until_ms:
            self._set_aside[host] = None
        else:
            self._set_aside.pop(host, None)
        pool = self._pool_by_host.get(host)
        if pool is not None and (pool != host.pool or not host.is_usable(now_ms)):
            self._pools[pool].remove(host.executor_id)
            del self._pool_by_host[host]
