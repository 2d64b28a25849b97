"""Measures one site of a given size, for `guavapin_bench.slopes`."""

from __future__ import annotations

import statistics
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from guavapin.objects.codec import encode_text
from guavapin.objects.model import MaintenanceWave
from guavapin.operators.fleet_calls import FleetChangeRequest
from guavapin_bench.slopes_site import SlopeSite
from guavapin_bench.slopes_site import usage_of
from guavapin_demo.sites import build_fleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.objects.model import ObjectSet

Row = dict[str, Any]

# Time until membership is complete and one seat of each zone holds the watches.
MEMBERSHIP_SETTLE_S = 6.0
# Time until a duty holder has taken over and has read the record.
TAKEOVER_S = 8.0
# After a start, slots are held off and upstreams are in slow start, which makes each
# turn of `exchanges` cost more. Both end about 60 s after the first publication.
STEADY_STATE_S = 70.0
PLACEMENT_TIMEOUT_S = 120.0
WAVE = "one-rack"
WAVE_TIMEOUT_S = 90.0


@dataclass(frozen=True, slots=True)
class Point:
    """Size of a site; `with_work` also measures host moves, a wave and commands.

    With `is_new` the duty holder places all hosts; otherwise they are placed before.
    """

    hosts: int
    pools: int
    entries: int
    with_work: bool = False
    is_new: bool = False


@dataclass(frozen=True, slots=True)
class Lengths:
    """Seconds of the idle windows without and with controls; number of changes."""

    entries_s: float = 8.0
    idle_s: float = 20.0
    changes: int = 10


@dataclass(frozen=True, slots=True)
class Sample:
    """Counters of all processes of a site at `at_s`."""

    at_s: float
    platform: dict[str, Any]
    reports: list[dict[str, float]]
    entries_cpu_s: list[float]
    controls_cpu_s: list[float]


def measure_point(point: Point, lengths: Lengths, seed: int) -> Row:
    """Return the figures of one site."""
    objects = objects_of(point)
    with (
        tempfile.TemporaryDirectory() as folder,
        SlopeSite(objects, point.entries, Path(folder), seed) as site,
    ):
        if not point.is_new:
            site.place_hosts()
        row: Row = {
            "hosts": point.hosts,
            "pools": point.pools,
            "entries": point.entries,
            "first_in_force_s": site.publish(objects, 0),
        }
        published_s = time.monotonic()
        time.sleep(MEMBERSHIP_SETTLE_S)
        row["entries_only"] = measure_window(site, lengths.entries_s)
        site.start_controls()
        row["placement"] = measure_placement(site)
        elapsed_s = time.monotonic() - published_s
        time.sleep(max(TAKEOVER_S, STEADY_STATE_S - elapsed_s))
        row["idle"] = idle = measure_window(site, lengths.idle_s)
        row["memory"] = measure_memory(site)
        row["change"] = measure_changes(site, lengths.changes, idle)
        row["disruption"] = _measure_or_report(lambda: measure_disruptions(site, idle))
        if point.with_work:
            row["move"] = _measure_or_report(lambda: measure_moves(site, idle))
            row["wave_host"] = _measure_or_report(lambda: measure_wave(site, idle))
            row["commands"] = measure_commands(site, Path(folder))
        row["refused_calls"] = site.platform_counters()["by_status"].get("429", 0)
    return row


def objects_of(point: Point) -> ObjectSet:
    """Return a generated fleet whose zones have the seats of the entry processes."""
    objects = build_fleet(point.hosts, point.pools)
    count = len(objects.zones)
    zones = {
        name: replace(zone, seats=max(1, -(-(point.entries - index) // count)))
        for index, (name, zone) in enumerate(objects.zones.items())
    }
    return replace(objects, zones=zones)


def sample(site: SlopeSite) -> Sample:
    """Read the counters of all processes."""
    return Sample(
        time.monotonic(),
        site.platform_counters(),
        site.reports(),
        [usage_of(process).cpu_s for process in site.entries],
        [usage_of(process).cpu_s for process in site.controls],
    )


def calls_between(before: Sample, after: Sample) -> Counter[str]:
    """Return calls by kind, and bytes of bodies in and out, between two samples."""
    calls = Counter(after.platform["by_kind"])
    calls.subtract(before.platform["by_kind"])
    for name in ("bytes_in", "bytes_out"):
        calls[name] = after.platform[name] - before.platform[name]
    return calls


def measure_window(site: SlopeSite, length_s: float) -> Row:
    """Return the rates of a site over `length_s` seconds without changes."""
    before = sample(site)
    time.sleep(length_s)
    after = sample(site)
    elapsed_s = after.at_s - before.at_s
    cpu = _percent(before.entries_cpu_s, after.entries_cpu_s, elapsed_s)
    controls = sorted(_percent(before.controls_cpu_s, after.controls_cpu_s, elapsed_s))
    row: Row = {
        "daemon_cpu_percent": cpu[0],
        "entry_cpu_percent": statistics.median(cpu),
        "entry_cpu_percent_most": max(cpu),
        "platform_per_s": {
            name: count / elapsed_s
            for name, count in sorted(calls_between(before, after).items())
        },
    }
    if controls:
        # The duty holder is the process that uses most processor time.
        row["holder_cpu_percent"] = controls[-1]
        row["waiting_control_cpu_percent"] = statistics.median(controls[:-1])
    for name in ("sent", "sent_bytes", "received_bytes"):
        row[f"peers_{name}_per_s"] = _rate(before, after, name, elapsed_s)
    for name in ("serving_cpu_s", "control_cpu_s"):
        row[f"{name[:-6]}_loop_cpu_percent"] = 100 * _rate(
            before, after, name, elapsed_s
        )
    return row


def measure_placement(site: SlopeSite) -> Row:
    """Wait until the duty holder has placed all hosts; return time and writes."""
    before = sample(site)
    deadline_s = before.at_s + PLACEMENT_TIMEOUT_S
    while site.placed_hosts() < len(site.objects.hosts):
        if time.monotonic() > deadline_s:
            raise RuntimeError("not all hosts were placed in time")
        time.sleep(0.5)
    after = sample(site)
    calls = calls_between(before, after)
    return {
        "took_s": after.at_s - before.at_s,
        "puts": calls["put"],
        "bytes_in": calls["bytes_in"],
    }


def measure_memory(site: SlopeSite) -> Row:
    """Return the resident memory in MB (2**20 bytes)."""
    entries = [usage_of(process).resident_bytes for process in site.entries]
    controls = [usage_of(process).resident_bytes for process in site.controls]
    return {
        "entry_daemon_mb": entries[0] / 2**20,
        "entry_most_mb": max(entries) / 2**20,
        "control_mb": statistics.median(controls) / 2**20,
        "control_most_mb": max(controls) / 2**20,
    }


def measure_changes(site: SlopeSite, count: int, idle: Row) -> Row:
    """Publish `count` changes of one host each; return cost and delay of a change."""
    delays = []
    before = sample(site)
    for number in range(count):
        hosts = dict(site.objects.hosts)
        name = sorted(hosts)[number]
        hosts[name] = replace(hosts[name], cores=17 + number)
        changed = replace(site.objects, hosts=hosts)
        delays.append(site.publish(changed, number + 1))
    after = sample(site)
    elapsed_s = after.at_s - before.at_s
    idle_cpu_s = idle["entry_cpu_percent"] / 100 * elapsed_s
    spent = zip(before.entries_cpu_s, after.entries_cpu_s, strict=True)
    used_s = statistics.median(end - start for start, end in spent)
    return {
        "platform": _above_idle(before, after, idle, count),
        "entry_cpu_ms": max(used_s - idle_cpu_s, 0.0) * 1_000 / count,
        "in_force_median_s": statistics.median(delays),
        "in_force_worst_s": max(delays),
    }


def measure_disruptions(site: SlopeSite, idle: Row, count: int = 4) -> Row:
    """Drain and undrain hosts; return the calls per host."""
    before = sample(site)
    # The hosts are in different pools and zones, so that no budget refuses a drain.
    for name in sorted(site.objects.hosts)[:count]:
        site.post(f"/hosts/{name}/drain", FleetChangeRequest("slopes"))
    time.sleep(3)
    for name in sorted(site.objects.hosts)[:count]:
        site.post(f"/hosts/{name}/undrain", FleetChangeRequest("slopes"))
    time.sleep(3)
    return {"platform": _above_idle(before, sample(site), idle, count)}


def measure_moves(site: SlopeSite, idle: Row, count: int = 4) -> Row:
    """Move hosts to another pool; return the calls per host."""
    target = sorted(site.objects.pools)[-1]
    names = [h.name for h in site.objects.hosts.values() if h.pool != target]
    before = sample(site)
    for name in names[:count]:
        body = FleetChangeRequest("slopes", pool=target)
        site.post(f"/hosts/{name}/move", body)
    # A host is in slow start for 30 s after it joins a pool.
    time.sleep(45)
    return {"platform": _above_idle(before, sample(site), idle, count)}


def measure_wave(site: SlopeSite, idle: Row) -> Row:
    """Run a wave over one rack; return the calls per host.

    The calls include the wave's publication; the wave starts without a command.
    """
    rack = site.objects.hosts[sorted(site.objects.hosts)[-1]].rack
    count = sum(host.rack == rack for host in site.objects.hosts.values())
    waves = {WAVE: MaintenanceWave(WAVE, racks=(rack,))}
    generation = site.get("/objects")["generation"]
    before = sample(site)
    site.publish(replace(site.objects, waves=waves), generation)
    time.sleep(5)
    deadline_s = time.monotonic() + WAVE_TIMEOUT_S
    while _is_running(site) and time.monotonic() < deadline_s:
        time.sleep(2)
    after = sample(site)
    return {
        "hosts": count,
        "took_s": after.at_s - before.at_s,
        "is_done": not _is_running(site),
        "platform": _above_idle(before, after, idle, count),
    }


def measure_commands(site: SlopeSite, folder: Path) -> Row:
    """Return the processor seconds and the memory in MB of each command."""
    objects = folder / "objects.toml"
    objects.write_text(encode_text(site.objects), encoding="utf-8")
    host = sorted(site.objects.hosts)[0]
    commands = {
        "check": ("check", str(objects)),
        "status": ("status",),
        "capacity": ("capacity",),
        "explain": ("explain", "host", host),
        "get": ("get", "host", host),
    }
    found: Row = {}
    for name, args in commands.items():
        try:
            cpu_s, memory = site.run_command(*args)
        except RuntimeError as exc:
            found[name] = {"failed": str(exc)}
            continue
        found[name] = {"cpu_s": cpu_s, "memory_mb": memory / 2**20}
    return found


def _measure_or_report(measure: Callable[[], Row]) -> Row:
    """Return the figures, or the error, so that the other figures are kept."""
    try:
        return measure()
    except RuntimeError as exc:
        return {"failed": str(exc)}


def _is_running(site: SlopeSite) -> bool:
    waves = site.get("/status")["waves"]
    return any(item["status"] in ("pending", "running") for item in waves)


def _above_idle(
    before: Sample, after: Sample, idle: Row, count: int
) -> dict[str, float]:
    """Return calls and bytes per event above those of the idle site."""
    elapsed_s = after.at_s - before.at_s
    rates = idle["platform_per_s"]
    return {
        name: round((total - rates.get(name, 0.0) * elapsed_s) / count, 1)
        for name, total in sorted(calls_between(before, after).items())
    }


def _percent(before: list[float], after: list[float], elapsed_s: float) -> list[float]:
    return [
        (end - start) / elapsed_s * 100
        for start, end in zip(before, after, strict=True)
    ]


def _rate(before: Sample, after: Sample, name: str, elapsed_s: float) -> float:
    """Return the median rate of one counter of the reports."""
    pairs = zip(before.reports, after.reports, strict=True)
    return (
        statistics.median(end[name] - start[name] for start, end in pairs) / elapsed_s
    )
