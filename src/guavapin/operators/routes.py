"""All paths of the operators' interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.operators.app import Route
from guavapin.operators.configuration_calls import ConfigurationCalls
from guavapin.operators.fleet_calls import FleetCalls
from guavapin.operators.report_calls import ReportCalls

if TYPE_CHECKING:
    from guavapin.kernel import Clock
    from guavapin.operators.api import ServiceClient
    from guavapin.settings.parts import NodeSettings


def build_routes(
    services: ServiceClient, node: NodeSettings, clock: Clock
) -> tuple[Route, ...]:
    """Return the routes; their handlers send calls through `services`."""
    configuration = ConfigurationCalls(services)
    fleet = FleetCalls(services)
    reports = ReportCalls(services, node, clock)
    return (
        Route("GET", "/status", reports.read_status),
        Route("GET", "/capacity", reports.read_capacity),
        Route("GET", "/explain/<kind>/<name>", reports.explain),
        Route("GET", "/where", reports.read_where),
        Route("GET", "/audit", reports.read_audit),
        Route("GET", "/objects", configuration.read_objects),
        Route("POST", "/publish", configuration.publish),
        Route("POST", "/rollback", configuration.roll_back),
        Route("POST", "/hosts/<name>/<action>", fleet.change_host),
        Route("POST", "/waves/<name>/<action>", fleet.change_wave),
    )
