"""The daemons as processes: settings, whole path, graceful stop on SIGTERM."""

from __future__ import annotations

import signal
import subprocess
import sys
import threading
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor

import pytest
from prometheus_client.parser import text_string_to_metric_families

from guavapin.console.client import OperatorsClient
from guavapin.kernel import Ok
from guavapin.operators.configuration_calls import PublishBody
from guavapin_standins.ports import free_ports

TOKEN = "test-operator-token"
PAUSE = threading.Event()
TIMEOUT_S = 60
PORT_NAMES = (
    "platform",
    "upstream",
    "second",
    "callers",
    "peers",
    "operators",
    "control",
)

OBJECTS = """
[availability_zone.east]
region = "north"
[availability_budget.small]
min_available = 1
[pool.renewals]
budget = "small"
[service.renewals]
pool = "renewals"
path_prefix = "/renewals"
[host.h1]
zone = "east"
rack = "r1"
pool = "renewals"
address = "127.0.0.1:{upstream}"
[host.h2]
zone = "east"
rack = "r2"
pool = "renewals"
address = "127.0.0.1:{second}"
"""

SETTINGS = """
[node]
name = "{name}"
zone = "east"
seat = 0
[operators]
address = "127.0.0.1:{operators}"
token_file = "{tokens}"
[platform]
address = "127.0.0.1:{platform}"
"""

ENTRY = """
[callers]
address = "127.0.0.1:{callers}"
[peers]
address = "127.0.0.1:{peers}"
[limits]
unready_notice_ms = 300
"""


def wait_until(condition) -> None:
    for _ in range(TIMEOUT_S * 20):
        if condition():
            return
        PAUSE.wait(0.05)
    raise AssertionError("condition did not come true")


def status_of(port: int, path: str) -> int:
    try:
        return urllib.request.urlopen(f"http://127.0.0.1:{port}{path}").status
    except urllib.error.HTTPError as exc:
        return exc.code
    except OSError:
        return 0


class Site:
    def __init__(self, folder) -> None:
        self.folder = folder
        self.ports = dict(zip(PORT_NAMES, free_ports(len(PORT_NAMES)), strict=True))
        self.processes: list[subprocess.Popen] = []
        tokens = folder / "tokens"
        tokens.write_text(f"ana {TOKEN}\n")
        common = {"tokens": tokens, "platform": self.ports["platform"]}
        entry = SETTINGS.format(
            name="e0", operators=self.ports["operators"], **common
        ) + ENTRY.format(**self.ports)
        control = SETTINGS.format(name="c0", operators=self.ports["control"], **common)
        (folder / "entry.toml").write_text(entry)
        (folder / "control.toml").write_text(control)

    def start(self, module: str, *args: str) -> subprocess.Popen:
        process = subprocess.Popen([sys.executable, "-m", module, *args])
        self.processes.append(process)
        return process

    def start_entry(self) -> subprocess.Popen:
        path = self.folder / "entry.toml"
        return self.start("guavapin.daemons.entry", "--settings", str(path))

    def start_all(self) -> subprocess.Popen:
        ports = self.ports
        self.start("guavapin_standins.platform", "--port", str(ports["platform"]))
        for name in ("upstream", "second"):
            self.start("guavapin_standins.upstream", "--port", str(ports[name]))
        for host in ("h1", "h2"):
            wait_until(lambda host=host: self.set_live(host))
        path = self.folder / "control.toml"
        self.start("guavapin.daemons.control", "--settings", str(path))
        entry = self.start_entry()
        wait_until(lambda: status_of(ports["operators"], "/healthz") == 200)
        return entry

    def set_live(self, host: str) -> bool:
        url = f"http://127.0.0.1:{self.ports['platform']}/standin/hosts/{host}"
        req = urllib.request.Request(f"{url}?state=live", method="PUT")
        try:
            return urllib.request.urlopen(req).status == 200
        except OSError:
            return False

    def publish(self) -> None:
        client = OperatorsClient(f"http://127.0.0.1:{self.ports['operators']}", TOKEN)
        body = PublishBody(0, OBJECTS.format(**self.ports), wait_ms=20_000)
        outcome = client.post("/operator/v1/publish", body)
        assert isinstance(outcome, Ok) and outcome.value.status == 200, outcome
        self.wait_ready()

    def wait_ready(self) -> None:
        wait_until(lambda: status_of(self.ports["callers"], "/readyz") == 200)

    def request(self, target: str, run_ms: int) -> bytes:
        url = f"http://127.0.0.1:{self.ports['callers']}{target}"
        req = urllib.request.Request(url, headers={"Guavapin-Run-Ms": str(run_ms)})
        return urllib.request.urlopen(req, timeout=TIMEOUT_S).read()

    def stop_all(self) -> None:
        for process in reversed(self.processes):
            if process.poll() is None:
                process.kill()
            process.wait()


@pytest.fixture
def site(tmp_path):
    site = Site(tmp_path)
    yield site
    site.stop_all()


def test_sigterm_reports_unready_first_and_finishes_requests(site):
    entry = site.start_all()
    site.publish()
    with ThreadPoolExecutor(1) as executor:
        fut = executor.submit(site.request, "/renewals/long", 3_000)
        PAUSE.wait(0.5)
        entry.send_signal(signal.SIGTERM)
        wait_until(lambda: status_of(site.ports["callers"], "/readyz") != 200)
        assert not fut.done()
        assert fut.result() == b"/renewals/long"
    assert entry.wait(TIMEOUT_S) == 0


def test_request_that_outlasts_the_stop_is_answered_and_the_seat_released(site):
    # Guards against a connection that ends without an answer after its request was
    # read, and against a seat whose slots stay unused after such a stop.
    settings = site.folder / "entry.toml"
    settings.write_text(settings.read_text() + "stop_timeout_ms = 500\n")
    entry = site.start_all()
    site.publish()
    with ThreadPoolExecutor(1) as executor:
        fut = executor.submit(site.request, "/renewals/longer", 8_000)
        PAUSE.wait(0.5)
        entry.send_signal(signal.SIGTERM)
        with pytest.raises(urllib.error.HTTPError) as caught:
            fut.result()
    assert caught.value.headers["guavapin-outcome"] == "unknown"
    assert entry.wait(TIMEOUT_S) == 0
    site.start_entry()
    site.wait_ready()
    assert site.request("/renewals/again", 10) == b"/renewals/again"


def test_seat_released_by_a_graceful_stop_serves_at_once_when_it_starts_again(site):
    entry = site.start_all()
    site.publish()
    entry.send_signal(signal.SIGTERM)
    assert entry.wait(TIMEOUT_S) == 0
    site.start_entry()
    site.wait_ready()
    # With the hold-off of an unreleased seat this would be refused as not run.
    assert site.request("/renewals/again", 10) == b"/renewals/again"


def test_faulty_settings_are_all_named_and_exit_with_2(tmp_path):
    path = tmp_path / "entry.toml"
    path.write_text('[node]\nname = "n"\nseat = "one"\nzome = "x"\n')
    done = subprocess.run(
        [sys.executable, "-m", "guavapin.daemons.entry", "--settings", str(path)],
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2
    for key in ("seat", "zome", "zone"):
        assert f"[node] {key}" in done.stderr


def scrape(port: int) -> dict[str, float]:
    text = urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics").read().decode()
    return {
        "".join((s.name, *(f"/{v}" for v in s.labels.values()))): s.value
        for family in text_string_to_metric_families(text)
        for s in family.samples
    }


def test_metrics_of_both_daemons_show_state_and_counters(site):
    # Guards against a source whose query its task does not know: the task would stop or
    # its metrics would be left out.
    site.start_all()
    site.publish()
    site.request("/renewals/metrics", 10)
    # The process is ready with the first host placed; the second follows.
    wait_until(lambda: scrape(site.ports["operators"])["guavapin_fleet_hosts/yes"] == 2)
    entry = scrape(site.ports["operators"])
    assert entry["guavapin_scrape_silent_services"] == 0
    assert entry["guavapin_ready"] == 1
    assert entry["guavapin_configuration_generation"] == 1
    assert entry["guavapin_fleet_revision"] > 0
    assert entry["guavapin_front_requests_in_progress"] == 0
    assert entry["guavapin_front_events_total/requests"] >= 1
    assert entry["guavapin_platform_calls_total/put/Written"] >= 1
    wait_until(lambda: scrape(site.ports["control"])["guavapin_duty_held/fleet"] == 1)
    control = scrape(site.ports["control"])
    assert control["guavapin_scrape_silent_services"] == 0
    assert control["guavapin_configuration_generation"] == 1
