"""WSGI application of the operators' interface: paths, access, encoding."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from werkzeug.exceptions import HTTPException
from werkzeug.exceptions import RequestEntityTooLarge
from werkzeug.routing import Map
from werkzeug.routing import Rule
from werkzeug.wrappers import Request
from werkzeug.wrappers import Response

from guavapin.kernel.outcome import Refused
from guavapin.operators.api import ApiAnswer
from guavapin.operators.api import ApiError
from guavapin.operators.api import OperatorCall
from guavapin.operators.api import answer_refused

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from guavapin.metrics.metrics import Metrics
    from guavapin.operators.access import AccessPolicy
    from guavapin.operators.api import Handler

PREFIX = "/operator/v1"
MAX_BODY_BYTES = 16 * 1024 * 1024
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclass(frozen=True, slots=True)
class Route:
    """A path below the interface's prefix, its method and its handler."""

    method: str
    path: str
    handler: Handler


class _BoundedRequest(Request):
    max_content_length = MAX_BODY_BYTES


class OperatorsApp:
    """Maps HTTP requests to handlers; holds no policy of its own.

    `is_ready` returns whether the process may get callers' requests. ``/metrics``,
    ``/healthz`` and ``/readyz`` need no token.
    """

    def __init__(
        self,
        routes: Iterable[Route],
        access: AccessPolicy,
        metrics: Metrics,
        is_ready: Callable[[], bool],
    ) -> None:
        self._access = access
        self._metrics = metrics
        self._is_ready = is_ready
        self._calls = metrics.counter(
            "operator_calls", "Calls of the operators' interface", ("status",)
        )
        self._handlers: dict[str, Handler] = {}
        rules = []
        for route in routes:
            endpoint = f"{route.method} {route.path}"
            self._handlers[endpoint] = route.handler
            rules.append(
                Rule(PREFIX + route.path, endpoint=endpoint, methods=[route.method])
            )
        self._map = Map(rules)

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one WSGI request."""
        req = _BoundedRequest(environ)
        response = self._answer(req)
        self._calls.labels(str(response.status_code)).inc()
        return response(environ, start_response)

    def _answer(self, req: Request) -> Response:
        if req.path == "/metrics":
            return Response(self._metrics.render(), mimetype=METRICS_TYPE)
        if req.path == "/healthz":
            return Response("ok\n")
        if req.path == "/readyz":
            is_ready = self._is_ready()
            text = "ready\n" if is_ready else "not ready\n"
            return Response(text, status=200 if is_ready else 503)
        operator = self._access.authenticate(req.headers.get("Authorization", ""))
        if isinstance(operator, Refused):
            return _encode(answer_refused(operator))
        try:
            return _encode(self._call(req, operator.value))
        except RequestEntityTooLarge:
            detail = f"the body is larger than {MAX_BODY_BYTES} bytes"
            return _encode(ApiAnswer(413, ApiError("too_large", detail)))
        except HTTPException as exc:
            return _encode(_answer_http_error(exc, req))

    def _call(self, req: Request, operator: str) -> ApiAnswer:
        endpoint, names = self._map.bind_to_environ(req.environ).match()
        call = OperatorCall(
            operator, _to_strings(names), req.args.to_dict(), req.get_data()
        )
        return self._handlers[endpoint](call)


def _to_strings(names: Mapping[str, Any]) -> dict[str, str]:
    return {name: str(value) for name, value in names.items()}


def _answer_http_error(exc: HTTPException, req: Request) -> ApiAnswer:
    detail = f"{req.method} {req.path}: {exc.name}"
    return ApiAnswer(exc.code or 500, ApiError("bad_input", detail))


def _encode(answer: ApiAnswer) -> Response:
    return Response(
        msgspec.json.encode(answer.body),
        status=answer.status,
        mimetype="application/json",
    )
