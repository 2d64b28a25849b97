"""All paths of the operators' interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.operators.app import Route
from guavapin.operators.configuration_calls import ConfigurationCalls
from guavapin.operators.fleet_calls import FleetCalls

if TYPE_CHECKING:
    from guavapin.operators.api import Asker


def build_routes(asker: Asker) -> tuple[Route, ...]:
    """Return the routes, whose handlers ask services through `asker`."""
    configuration = ConfigurationCalls(asker)
    fleet = FleetCalls(asker)
    return (
        Route("GET", "/status", configuration.read_status),
        Route("GET", "/objects", configuration.read_objects),
        Route("POST", "/publish", configuration.publish),
        Route("POST", "/rollback", configuration.roll_back),
        Route("POST", "/hosts/<name>/<action>", fleet.change_host),
        Route("POST", "/waves/<name>/<action>", fleet.change_wave),
    )
