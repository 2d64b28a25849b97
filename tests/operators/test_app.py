from __future__ import annotations

import json

import pytest
from werkzeug.test import Client

from guavapin.kernel import Ok
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.metrics.metrics import Metrics
from guavapin.operators.access import AccessPolicy
from guavapin.operators.access import load_tokens
from guavapin.operators.api import ApiAnswer
from guavapin.operators.api import answer_refused
from guavapin.operators.app import MAX_BODY_BYTES
from guavapin.operators.app import OperatorsApp
from guavapin.operators.app import Route

TOKEN = "0123456789abcdef"


def echo(call) -> ApiAnswer:
    return ApiAnswer(200, {"operator": call.operator, **call.names})


def refuse(call) -> ApiAnswer:
    return answer_refused(Refused(Reason.BUDGET, "pool renewals: 4 of 6 must stay"))


@pytest.fixture
def client() -> Client:
    routes = (
        Route("GET", "/hosts/<name>", echo),
        Route("POST", "/hosts/<name>/drain", refuse),
    )
    access = AccessPolicy(tokens=(("ana", TOKEN),))
    return Client(OperatorsApp(routes, access, Metrics(), lambda: False))


def test_call_without_a_valid_token_is_refused(client):
    for headers in ({}, {"Authorization": "Bearer wrong"}, {"Authorization": "é"}):
        answer = client.get("/operator/v1/hosts/h1", headers=headers)
        assert answer.status_code == 401


def test_token_names_the_operator(client):
    headers = {"Authorization": f"Bearer {TOKEN}"}
    answer = client.get("/operator/v1/hosts/h1", headers=headers)
    assert json.loads(answer.data) == {"operator": "ana", "name": "h1"}


def test_refusal_carries_reason_and_detail(client):
    headers = {"Authorization": f"Bearer {TOKEN}"}
    answer = client.post("/operator/v1/hosts/h1/drain", headers=headers)
    assert answer.status_code == 409
    assert json.loads(answer.data)["reason"] == "budget"


def test_unknown_path_and_wrong_method_answer_json(client):
    headers = {"Authorization": f"Bearer {TOKEN}"}
    assert client.get("/operator/v1/nothing", headers=headers).status_code == 404
    answer = client.delete("/operator/v1/hosts/h1", headers=headers)
    assert answer.status_code == 405
    assert "detail" in json.loads(answer.data)


def test_oversized_body_is_refused(client):
    headers = {"Authorization": f"Bearer {TOKEN}"}
    answer = client.post(
        "/operator/v1/hosts/h1/drain",
        headers=headers,
        data=b"x" * (MAX_BODY_BYTES + 1),
    )
    assert answer.status_code == 413


def test_health_readiness_and_metrics_need_no_token(client):
    assert client.get("/healthz").status_code == 200
    assert client.get("/readyz").status_code == 503
    assert b"guavapin_operator_calls_total" in client.get("/metrics").data


def test_short_token_is_refused_with_its_line(tmp_path):
    path = tmp_path / "tokens"
    path.write_text(f"# operators\nana {TOKEN}\nraj short\n")
    outcome = load_tokens(str(path))
    assert isinstance(outcome, Refused)
    assert "line 3" in outcome.detail
    path.write_text(f"ana {TOKEN}\n")
    assert load_tokens(str(path)) == Ok((("ana", TOKEN),))
