"""The task `routes`: builds the route table from configuration and fleet record."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.fleet.effective import FleetChanged
from guavapin.fleet.messages import ObjectsUpdate
from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.publication.messages import ConfigurationAdopted
from guavapin.publication.messages import SubscribeConfiguration
from guavapin.serving.route_table import RouteTable
from guavapin.serving.route_table import RouteTableChanged
from guavapin.serving.route_table import build_route_table

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavapin.fleet.effective import HostView
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin.objects.model import ObjectSet


@dataclass(frozen=True, slots=True)
class QueryRoutes:
    """Query, sent as a `Call`; the reply is the `RouteTable` in effect."""


class RoutesTask:
    """Service `routes`; sends `RouteTableChanged` when either input changes.

    Each service in `subscribers` receives every table. Each one in
    `objects_subscribers` receives an `ObjectsUpdate` for every new configuration.
    """

    name = "routes"

    def __init__(
        self,
        subscribers: tuple[str, ...],
        objects_subscribers: tuple[str, ...] = (),
    ) -> None:
        self._subscribers = subscribers
        self._objects_subscribers = objects_subscribers
        self._objects: ObjectSet | None = None
        self._generation = 0
        self._hosts: Mapping[str, HostView] = {}
        self._table = RouteTable()

    def start(self, context: TaskContext) -> Outcome[None]:
        """Subscribe to the configuration."""
        self._context = context
        context.send("configuration", SubscribeConfiguration(self.name))
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a new configuration, a new fleet record or a query."""
        match message:
            case ConfigurationAdopted(generation, objects):
                self._objects = objects
                self._generation = generation
                for service in self._objects_subscribers:
                    self._context.send(service, ObjectsUpdate(objects, generation))
                self._rebuild()
            case FleetChanged():
                self._hosts = message.hosts
                self._rebuild()
            case Call(QueryRoutes(), fut):
                fut.set_result(self._table)

    def stop(self) -> None:
        """Do nothing; this task has no sockets."""

    def _rebuild(self) -> None:
        if self._objects is None:
            return
        self._table = build_route_table(
            self._objects,
            self._generation,
            {name: view.pool for name, view in self._hosts.items()},
            frozenset(
                name for name, view in self._hosts.items() if not view.takes_new_work
            ),
        )
        for subscriber in self._subscribers:
            self._context.send(subscriber, RouteTableChanged(self._table))
