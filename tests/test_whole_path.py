"""The whole path on real sockets: publish, serve, drain."""

from __future__ import annotations

import threading
import urllib.request

import pytest

from guavapin.kernel import Ok
from guavapin.objects.codec import encode_text
from guavapin.operators.configuration_calls import PublishBody
from guavapin_demo.embedded import EmbeddedSite
from guavapin_demo.sites import GAGNON

PAUSE = threading.Event()


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with EmbeddedSite(GAGNON, tmp_path_factory.mktemp("site")) as site:
        body = PublishBody(0, encode_text(site.objects), "first", wait_ms=30_000)
        outcome = site.client().post("/operator/v1/publish", body)
        assert isinstance(outcome, Ok) and outcome.value.status == 200, outcome
        wait_until(lambda: all(is_ready(a.callers) for a in site.addresses))
        wait_until(site.is_placed)
        yield site


def wait_until(condition, attempts: int = 600) -> None:
    for _ in range(attempts):
        if condition():
            return
        PAUSE.wait(0.05)
    raise AssertionError("condition did not come true")


def is_ready(address: str) -> bool:
    try:
        return urllib.request.urlopen(f"http://{address}/readyz").status == 200
    except OSError:
        return False


def run_count(site, host: str) -> int:
    return len(site.record(host).runs)


def test_request_is_served_whole_through_every_entry_process(site):
    for address in site.addresses:
        target = f"/renewals/{address.name}"
        answer = urllib.request.urlopen(f"http://{address.callers}{target}")
        assert answer.read() == target.encode()


def test_drained_host_gets_no_new_work(site):
    host = next(
        host
        for host in site.objects.hosts.values()
        if host.pool == "renewals" and host.zone == site.addresses[0].zone
    )
    outcome = site.client().post(f"/operator/v1/hosts/{host.name}/drain", {})
    assert isinstance(outcome, Ok) and outcome.value.status == 200, outcome
    # A leaving upstream gets no new work after 3 seconds.
    PAUSE.wait(3)
    before = run_count(site, host.name)
    for index in range(40):
        callers = site.addresses[index % len(site.addresses)].callers
        urllib.request.urlopen(f"http://{callers}/renewals/{index}").read()
    assert run_count(site, host.name) == before


def test_drain_beyond_the_budget_is_refused(site):
    names = sorted(
        host.name for host in site.objects.hosts.values() if host.pool == "bag-labels"
    )
    statuses = [
        site.client().post(f"/operator/v1/hosts/{name}/drain", {}).value.status
        for name in names
    ]
    # The budget keeps 4 of the 6 hosts available.
    assert sorted(statuses) == [200, 200, 409, 409, 409, 409]
