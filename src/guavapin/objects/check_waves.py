"""Checks of maintenance waves: hosts, order and length of the window."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from guavapin.objects.model import Fault

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from guavapin.objects.index import PoolView
    from guavapin.objects.model import Host
    from guavapin.objects.model import MaintenanceWave
    from guavapin.objects.model import ObjectSet

KIND = "maintenance_wave"


def check_waves(objects: ObjectSet, views: Mapping[str, PoolView]) -> Iterator[Fault]:
    """Report waves without usable hosts, in a cycle, or too long for their window."""
    yield from _check_cycles(objects.waves)
    durations: dict[str, int] = {}
    for name, wave in objects.waves.items():
        hosts = _hosts_by_pool(wave, views)
        if not hosts:
            expected = "pools and racks that have hosts"
            yield Fault(KIND, name, "pools", "no host matches", expected)
            continue
        blocked = [pool for pool in hosts if views[pool].size <= views[pool].required]
        for pool in blocked:
            found = f"pool {pool!r}, whose budget needs all {views[pool].size} hosts"
            yield Fault(KIND, name, "pools", found, "a budget that spares one host")
        if not blocked:
            durations[name] = max_duration_ms(wave, hosts, views)
    yield from _check_windows(objects.waves, durations)


def max_duration_ms(
    wave: MaintenanceWave,
    hosts: Mapping[str, tuple[Host, ...]],
    views: Mapping[str, PoolView],
) -> int:
    """Return the milliseconds that the wave takes if each host uses up its timeouts.

    Hosts are maintained in rounds. The tightest limit determines the least number of
    rounds: the hosts at once, the budget of a pool, or its limit per zone or rack.
    """
    total = sum(map(len, hosts.values()))
    rounds = [_ceil_div(total, wave.max_at_once)]
    for pool, members in hosts.items():
        view = views[pool]
        rounds.append(_ceil_div(len(members), view.size - view.required))
        budget = view.budget
        if budget is None:
            continue
        zones = Counter(host.zone for host in members)
        racks = Counter(host.rack for host in members)
        rounds.append(_domain_rounds(zones.values(), budget.max_down_per_zone))
        rounds.append(_domain_rounds(racks.values(), budget.max_down_per_rack))
    return max(rounds) * (wave.drain_timeout_ms + wave.reboot_timeout_ms)


def _hosts_by_pool(
    wave: MaintenanceWave, views: Mapping[str, PoolView]
) -> dict[str, tuple[Host, ...]]:
    racks = frozenset(wave.racks)
    found = {}
    for pool in wave.pools or views:
        if pool not in views:
            continue
        hosts = views[pool].hosts
        members = tuple(host for host in hosts if not racks or host.rack in racks)
        if members:
            found[pool] = members
    return found


def _check_windows(
    waves: Mapping[str, MaintenanceWave], durations: Mapping[str, int]
) -> Iterator[Fault]:
    for name, needed_ms in durations.items():
        wave = waves[name]
        if needed_ms > wave.window_length_ms:
            found = f"{wave.window_length_ms}, but the hosts may take {needed_ms}"
            expected = f"at least {needed_ms}, or more hosts at once"
            yield Fault(KIND, name, "window_length_ms", found, expected)
        predecessor = waves.get(wave.after)
        if predecessor is None or wave.after not in durations:
            continue
        if not (predecessor.window_start_ms and wave.window_start_ms):
            continue
        start_ms = max(
            wave.window_start_ms, predecessor.window_start_ms + durations[wave.after]
        )
        end_ms = wave.window_start_ms + wave.window_length_ms
        if start_ms + needed_ms > end_ms >= wave.window_start_ms + needed_ms:
            found = f"{wave.after!r}, which may last until {start_ms}"
            expected = f"an end by {end_ms - needed_ms}, or a longer window"
            yield Fault(KIND, name, "after", found, expected)


def _check_cycles(waves: Mapping[str, MaintenanceWave]) -> Iterator[Fault]:
    done: set[str] = set()
    for name in sorted(waves):
        path: dict[str, int] = {}
        current = name
        while current in waves and current not in done and current not in path:
            path[current] = len(path)
            current = waves[current].after
        if current in path:
            cycle = [
                item for item, position in path.items() if position >= path[current]
            ]
            found = " after ".join((*cycle, current))
            yield Fault(KIND, min(cycle), "after", found, "no cycle")
        done.update(path)


def _domain_rounds(counts: Iterable[int], batch_size: int) -> int:
    return _ceil_div(max(counts), batch_size) if batch_size else 0


def _ceil_div(count: int, batch_size: int) -> int:
    return -(-count // batch_size)
