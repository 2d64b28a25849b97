"""The status report: broken promises, disruptions and waves in progress."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.fleet.budget import pool_statuses
from guavapin.fleet.budget import required_available

if TYPE_CHECKING:
    from guavapin.fleet.budget import Liveness
    from guavapin.fleet.state import Disruption
    from guavapin.fleet.state import FleetState
    from guavapin.fleet.state import WaveProgress
    from guavapin.objects.model import ObjectSet
    from guavapin.publication.messages import ConfigurationStatus

# A generation must be in force everywhere within this time. A peer that has not adopted
# it by then counts as a broken promise.
IN_FORCE_TIMEOUT_MS = 2_000


@dataclass(frozen=True, slots=True)
class EntryLine:
    """One entry process, as known to the process that makes the report."""

    name: str
    zone: str
    status: str
    generation: int


@dataclass(frozen=True, slots=True)
class PoolLine:
    """One pool; `margin` is the available hosts above what the budget requires."""

    pool: str
    hosts: int
    available: int
    required: int
    margin: int


@dataclass(frozen=True, slots=True)
class DisruptionLine:
    """A planned disruption in progress; `for_ms` is how long its phase has lasted."""

    host: str
    pool: str
    kind: str
    phase: str
    actor: str
    for_ms: int


@dataclass(frozen=True, slots=True)
class WaveLine:
    """One wave; `detail` gives the reason why it waits or stopped."""

    wave: str
    status: str
    done: int
    failed: int
    detail: str


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Content of `guavapin status`; `broken` names each promise not kept now."""

    generation: int
    author: str
    broken: tuple[str, ...]
    entries: tuple[EntryLine, ...]
    pools: tuple[PoolLine, ...]
    disruptions: tuple[DisruptionLine, ...]
    waves: tuple[WaveLine, ...]


def build_status(
    own: EntryLine,
    configuration: ConfigurationStatus,
    objects: ObjectSet,
    state: FleetState,
    liveness: Liveness | None,
    wall_ms: int,
) -> StatusReport:
    """Return the report; without `liveness` the budgets are not checked."""
    peers = tuple(
        EntryLine(peer.name, peer.zone, peer.status, peer.generation)
        for peer in configuration.peers
    )
    pools = () if liveness is None else _pool_lines(objects, state, liveness)
    return StatusReport(
        generation=configuration.generation,
        author=configuration.author,
        broken=_broken_promises(
            configuration, peers, pools, state, liveness, wall_ms=wall_ms
        ),
        entries=(own, *peers),
        pools=pools,
        disruptions=tuple(
            _disruption_line(item, wall_ms)
            for _, item in sorted(state.disruptions.items())
        ),
        waves=tuple(_wave_line(item) for _, item in sorted(state.waves.items())),
    )


def _pool_lines(
    objects: ObjectSet, state: FleetState, liveness: Liveness
) -> tuple[PoolLine, ...]:
    lines = []
    for name, status in sorted(pool_statuses(state, objects, liveness).items()):
        pool = objects.pools.get(name)
        budget = objects.budgets.get(pool.budget) if pool is not None else None
        required = required_available(budget, status.size) if budget else 0
        lines.append(
            PoolLine(
                pool=name,
                hosts=len(status.members),
                available=status.available,
                required=required,
                margin=status.available - required,
            )
        )
    return tuple(lines)


def _broken_promises(
    configuration: ConfigurationStatus,
    peers: tuple[EntryLine, ...],
    pools: tuple[PoolLine, ...],
    state: FleetState,
    liveness: Liveness | None,
    wall_ms: int,
) -> tuple[str, ...]:
    generation = configuration.generation
    is_overdue = wall_ms - configuration.adopted_ms > IN_FORCE_TIMEOUT_MS
    found = [
        f"pool {line.pool}: {line.available} available, {line.required} required"
        for line in pools
        if line.margin < 0
    ]
    found.extend(
        f"entry {peer.name}: generation {peer.generation} of {generation}"
        for peer in peers
        if is_overdue and peer.status == "alive" and peer.generation < generation
    )
    found.extend(
        f"wave {wave.wave}: stopped ({wave.detail})"
        for wave in state.waves.values()
        if wave.status.value == "stopped"
    )
    if liveness is None:
        found.append("budgets: the platform's list of hosts cannot be read")
    return tuple(found)


def _disruption_line(item: Disruption, wall_ms: int) -> DisruptionLine:
    return DisruptionLine(
        host=item.host,
        pool=item.pool,
        kind=item.kind.value,
        phase=item.phase.value,
        actor=item.actor,
        for_ms=max(wall_ms - item.since_ms, 0),
    )


def _wave_line(item: WaveProgress) -> WaveLine:
    return WaveLine(
        item.wave, item.status.value, len(item.done), len(item.failed), item.detail
    )
