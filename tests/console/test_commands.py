"""Console commands against an embedded site; exit codes that scripts rely on."""

from __future__ import annotations

import json
import threading
from dataclasses import replace

import pytest

from guavapin.console.app import main
from guavapin.objects.codec import encode_text
from guavapin_demo.embedded import OPERATOR_TOKEN
from guavapin_demo.embedded import EmbeddedSite
from guavapin_demo.sites import GAGNON
from guavapin_demo.sites import build_objects

SMALL = replace(GAGNON, zones=("rimouski", "matane"), seats=(1, 1), executors=4)


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with EmbeddedSite(SMALL, tmp_path_factory.mktemp("site")) as site:
        yield site


@pytest.fixture
def run(site, monkeypatch, capsys):
    monkeypatch.setenv("GUAVAPIN_TOKEN", OPERATOR_TOKEN)
    monkeypatch.setenv("GUAVAPIN_URL", f"http://{site.addresses[0].operators}")

    def run(*argv: str) -> tuple[int, str, str]:
        code = main(argv)
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run


@pytest.fixture
def published(site, run, tmp_path):
    path = tmp_path / "objects.toml"
    code, out, _ = run("get")
    if code:
        path.write_text(encode_text(site.objects))
        code, _, err = run(
            "publish", str(path), "--base", "0", "--wait", "--wait-ms", "30000"
        )
        assert code == 0, err
        code, out, _ = run("get")
        wait_until(site.is_placed)
    path.write_text(out)
    return path


def wait_until(condition, attempts: int = 600) -> None:
    pause = threading.Event()
    for _ in range(attempts):
        if condition():
            return
        pause.wait(0.05)
    raise AssertionError("condition did not come true")


def test_check_reports_every_fault_at_once(run, tmp_path):
    objects = build_objects(SMALL)
    path = tmp_path / "objects.toml"
    path.write_text(encode_text(objects))
    assert run("check", str(path))[0] == 0
    text = path.read_text().replace('budget = "renewals-budget"', 'budget = "none"')
    path.write_text(text.replace('pool = "bag-labels"', 'pool = "missing"'))
    code, _, err = run("check", str(path))
    assert code == 2
    assert "'none'" in err and "'missing'" in err


def test_unreachable_entry_host_has_its_own_exit_code(run):
    assert run("status", "--url", "http://127.0.0.1:1")[0] == 3


def test_publish_without_a_base_generation_is_refused(site, run, tmp_path):
    path = tmp_path / "objects.toml"
    path.write_text(encode_text(site.objects))
    code, _, err = run("publish", str(path))
    assert code == 2 and "--base" in err


def test_edited_output_of_get_is_published_as_the_next_generation(run, published):
    old = '[pool.bag-labels]\nbudget = "bag-labels-budget"\n'
    text = published.read_text()
    assert old in text
    published.write_text(text.replace(old, old + "slots = 7\n"))
    code, out, err = run("publish", str(published), "--reason", "fewer slots")
    assert code == 0, err
    assert "generation 2" in out
    code, out, _ = run("audit", "--output", "json")
    reasons = [entry["reason"] for entry in json.loads(out)["entries"]]
    assert code == 0 and "fewer slots" in reasons


def test_second_change_of_one_object_from_the_same_base_is_a_conflict(
    run, published, tmp_path
):
    first, second = tmp_path / "first.toml", tmp_path / "second.toml"
    text = published.read_text()
    old = '[pool.renewals]\nbudget = "renewals-budget"\n'
    assert old in text
    first.write_text(text.replace(old, old + "burst_hosts = 1\n"))
    second.write_text(text.replace(old, old + "burst_hosts = 2\n"))
    assert run("publish", str(first))[0] == 0
    code, _, err = run("publish", str(second))
    assert code == 4
    assert "burst_hosts=1" in err and "burst_hosts=2" in err


def test_status_capacity_and_explain_answer(run, published):
    code, out, _ = run("status")
    assert code == 0 and "MARGIN" in out
    code, out, _ = run("capacity", "renewals")
    assert code == 0 and "one host fewer breaks" in out
    code, out, _ = run("explain", "host", "rimouski-h01")
    assert code == 0 and "takes new work" in out
    assert run("explain", "host", "missing")[0] == 2


def test_drain_and_undrain_are_accepted_and_audited(run, published):
    host = "matane-h01"
    assert run("drain", host, "--reason", "new disk")[0] == 0
    _code, out, _ = run("audit", "--object", host, "--output", "json")
    assert json.loads(out)["entries"][0]["reason"] == "new disk"
    assert run("undrain", host)[0] == 0
    assert run("drain", "missing")[0] == 2


def test_where_names_the_upstream_of_a_request(published, run):
    # Guards against operators who cannot see why an upstream gets no requests.
    code, out, _ = run("where", "--entry", "--path", "/renewals/1")
    assert code == 0 and "service renewals" in out and "would be sent to" in out
    code, out, _ = run("where", "--entry", "--path", "/renewals/1", "--output", "json")
    body = json.loads(out)
    assert body["chosen"] in {row["host"] for row in body["upstreams"]}
    code, _, err = run("where", "--entry", "--path", "/none")
    assert code == 2 and "'/none'" in err and "renewals" in err
    code, _, err = run("where", "--entry", "--path", "none")
    assert code == 2 and "expected the path" in err
