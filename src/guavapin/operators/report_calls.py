"""Operators' calls that read: status, capacity, explanations, audit trail."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from guavapin.audit.query import AuditQuery
from guavapin.audit.reader import AUDIT_READER
from guavapin.capacity.growth import growth_costs
from guavapin.capacity.report import capacity_reports
from guavapin.fleet.budget import Liveness
from guavapin.fleet.messages import FLEET_VIEW
from guavapin.fleet.messages import QueryFleet
from guavapin.kernel.decimal import MAX_DIGITS
from guavapin.kernel.decimal import parse_decimal
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.keyvalue.messages import Hosts
from guavapin.keyvalue.messages import ListHosts
from guavapin.operators.api import ApiAnswer
from guavapin.operators.api import answer_refused
from guavapin.operators.api import await_reply
from guavapin.operators.publication_trail import PublicationTrail
from guavapin.publication.messages import GetConfiguration
from guavapin.publication.messages import QueryConfiguration
from guavapin.reports.explain import explain_host
from guavapin.reports.explain import explain_wave
from guavapin.reports.status import EntryLine
from guavapin.reports.status import build_status
from guavapin.serving.exchange_where import ExplainRequest

if TYPE_CHECKING:
    from guavapin.fleet.effective import FollowedFleet
    from guavapin.kernel import Clock
    from guavapin.kernel.outcome import Outcome
    from guavapin.objects.model import ObjectSet
    from guavapin.operators.api import OperatorCall
    from guavapin.operators.api import ServiceClient
    from guavapin.settings.parts import NodeSettings

LIVE = "live"
DEFAULT_AUDIT_LIMIT = 50

# Characters of a value that an error repeats.
MAX_SHOWN = 80


@dataclass(frozen=True, slots=True)
class _ReportInputs:
    """Inputs of a report; `liveness` is None if the platform cannot be read."""

    objects: ObjectSet
    fleet: FollowedFleet
    liveness: Liveness | None


class ReportCalls:
    """Handlers of ``/status``, ``/capacity``, ``/explain`` and ``/audit``."""

    def __init__(
        self, services: ServiceClient, node: NodeSettings, clock: Clock
    ) -> None:
        self._services = services
        self._node = node
        self._clock = clock
        self._trail = PublicationTrail(services)

    def read_status(self, call: OperatorCall) -> ApiAnswer:
        """Return broken promises, disruptions and waves in progress."""
        inputs = self._fetch_inputs()
        if isinstance(inputs, Refused):
            return answer_refused(inputs)
        configuration = await_reply(
            self._services.ask("configuration", QueryConfiguration())
        )
        if isinstance(configuration, Refused):
            return answer_refused(configuration)
        own = EntryLine(
            self._node.name, self._node.zone, "self", configuration.generation
        )
        report = build_status(
            own,
            configuration,
            inputs.value.objects,
            inputs.value.fleet.state,
            inputs.value.liveness,
            self._clock.wall_ms(),
        )
        return ApiAnswer(200, report)

    def read_capacity(self, call: OperatorCall) -> ApiAnswer:
        """Return the capacity of each pool and the cost of each growth plan."""
        inputs = self._fetch_inputs()
        if isinstance(inputs, Refused):
            return answer_refused(inputs)
        state, objects = inputs.value.fleet.state, inputs.value.objects
        liveness = inputs.value.liveness or Liveness()
        body = {
            "pools": capacity_reports(state, objects, liveness),
            "growth_plans": growth_costs(state, objects, self._clock.wall_ms()),
        }
        return ApiAnswer(200, body)

    def explain(self, call: OperatorCall) -> ApiAnswer:
        """Return why a host takes no work or a wave waits."""
        inputs = self._fetch_inputs()
        if isinstance(inputs, Refused):
            return answer_refused(inputs)
        name, objects = call.names["name"], inputs.value.objects
        fleet = inputs.value.fleet
        if call.names["kind"] == "host":
            liveness = inputs.value.liveness or Liveness()
            return _answer(explain_host(name, objects, fleet, liveness))
        if call.names["kind"] == "wave":
            return _answer(explain_wave(name, objects, fleet.state))
        detail = f"kind = {call.names['kind']!r}; expected host or wave"
        return answer_refused(Refused(Reason.MISSING, detail))

    def read_where(self, call: OperatorCall) -> ApiAnswer:
        """Return where this entry host would send a request now, and why."""
        query = _request_query(call.query)
        if isinstance(query, Refused):
            return answer_refused(query)
        return _answer(await_reply(self._services.ask("exchanges", query.value)))

    def read_audit(self, call: OperatorCall) -> ApiAnswer:
        """Return audit entries of the fleet and of publications, newest first."""
        query = _audit_query(call.query)
        if isinstance(query, Refused):
            return answer_refused(query)
        fleet = await_reply(self._services.ask(AUDIT_READER, query.value))
        if isinstance(fleet, Refused):
            return answer_refused(fleet)
        publications = self._trail.read(query.value)
        if isinstance(publications, Refused):
            return answer_refused(publications)
        entries = sorted(
            (*fleet.value, *publications.value), key=lambda entry: -entry.wall_ms
        )
        return ApiAnswer(200, {"entries": entries[: query.value.bounded_limit]})

    def _fetch_inputs(self) -> Outcome[_ReportInputs]:
        adopted = await_reply(self._services.ask("configuration", GetConfiguration()))
        if isinstance(adopted, Refused):
            return adopted
        fleet = await_reply(self._services.ask(FLEET_VIEW, QueryFleet()))
        if isinstance(fleet, Refused):
            return fleet
        hosts = await_reply(self._services.ask("platform", ListHosts("", 0)))
        return Ok(_ReportInputs(adopted.value.objects, fleet, _liveness(hosts)))


def _liveness(hosts: object) -> Liveness | None:
    if not isinstance(hosts, Hosts):
        return None
    return Liveness(frozenset(h.host for h in hosts.hosts if h.state == LIVE))


def _answer(outcome: Outcome[Any]) -> ApiAnswer:
    if isinstance(outcome, Refused):
        return answer_refused(outcome)
    return ApiAnswer(200, outcome.value)


def _audit_query(query: Any) -> Outcome[AuditQuery]:
    values = {"since_ms": 0, "until_ms": 0, "limit": DEFAULT_AUDIT_LIMIT}
    for name in values:
        text = query.get(name, str(values[name]))
        number = parse_decimal(text)
        if number is None:
            detail = f"{name} = {text[:MAX_DIGITS]!r}; expected a whole number"
            return Refused(Reason.BAD_INPUT, detail)
        values[name] = number
    return Ok(
        AuditQuery(
            actor=query.get("actor", ""),
            action=query.get("action", ""),
            object=query.get("object", ""),
            **values,
        )
    )


def _request_query(query: Any) -> Outcome[ExplainRequest]:
    path, size = query.get("path", ""), query.get("size", "0")
    if not path.startswith("/"):
        detail = f"path = {path[:MAX_SHOWN]!r}; expected the path of a request"
        return Refused(Reason.BAD_INPUT, detail)
    number = parse_decimal(size)
    if number is None:
        detail = f"size = {size[:MAX_DIGITS]!r}; expected a number of bytes"
        return Refused(Reason.BAD_INPUT, detail)
    return Ok(
        ExplainRequest(
            query.get("host", ""),
            path,
            number,
            query.get("method", "GET"),
            query.get("team", ""),
        )
    )
