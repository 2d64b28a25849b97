"""The task `routes`: makes the route table from configuration and fleet record."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from guavapin.fleet.messages import FleetChanged
from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.publication.messages import ConfigurationAdopted
from guavapin.serving.route_table import RouteTable
from guavapin.serving.route_table import RouteTableChanged
from guavapin.serving.route_table import build_route_table

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin.objects.model import ObjectSet


@dataclass(frozen=True, slots=True)
class QueryRoutes:
    """As a `Call`: the reply is the `RouteTable` in effect."""


@dataclass(frozen=True, slots=True)
class RoutesConfig:
    """Services that get each new table, and those that get the objects alone."""

    subscribers: tuple[str, ...] = ("exchanges",)


@dataclass(frozen=True, slots=True)
class _Placement:
    pools: Mapping[str, str] = field(default_factory=dict)
    out_of_service: frozenset[str] = frozenset()


class RoutesTask:
    """Service `routes`; sends `RouteTableChanged` when either input changes."""

    name = "routes"

    def __init__(self, cfg: RoutesConfig) -> None:
        self._cfg = cfg
        self._objects: ObjectSet | None = None
        self._generation = 0
        self._placement = _Placement()
        self._table = RouteTable()

    def start(self, context: TaskContext) -> Outcome[None]:
        """Keep the context; this task has no sockets."""
        self._context = context
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a new configuration, a new fleet record or a question."""
        match message:
            case ConfigurationAdopted():
                self._objects = message.objects
                self._generation = message.generation
                self._rebuild()
            case FleetChanged():
                out = frozenset(
                    host for host, state in message.hosts.items() if not state.takes_work
                )
                pools = {host: state.pool for host, state in message.hosts.items()}
                self._placement = _Placement(pools, out)
                self._rebuild()
            case Call(QueryRoutes(), fut):
                fut.set_result(self._table)

    def stop(self) -> None:
        """Nothing to close."""

    def _rebuild(self) -> None:
        if self._objects is None:
            return
        self._table = build_route_table(
            self._objects,
            self._generation,
            self._placement.pools,
            self._placement.out_of_service,
        )
        for subscriber in self._cfg.subscribers:
            self._context.send(subscriber, RouteTableChanged(self._table))
