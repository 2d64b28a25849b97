"""Two entry hosts, as processes, against a stand-in of the users' platform."""

from __future__ import annotations

import base64
import http.client
import json
import signal
import time
from collections import Counter

import pytest

from guavapin.console.app import main
from guavapin.kernel import Kernel
from guavapin.kernel import SystemClock
from guavapin.serving.front import FrontTask
from guavapin.serving.front_config import FrontConfig
from guavapin_soak.entry_process import EntryProcess
from guavapin_soak.entry_process import entry_ports
from guavapin_standins.ports import free_ports
from guavapin_standins.resident_executor import WORK_SPEC
from guavapin_standins.resident_platform import MACHINE_CAPACITY
from guavapin_standins.resident_platform import PutItem
from guavapin_standins.resident_platform import QueryPlatform
from guavapin_standins.resident_platform import ResidentPlatformTask
from guavapin_standins.resident_platform import SetStoreDown
from guavapin_standins.resident_platform import StandInPool

MANIFEST = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "jobs.example",
            "prefix": "/q/",
            "service": "pool",
            "attempts": 3,
            "stretch": 1.6,
            "latency-slo-ms": 600,
        }
    ],
    "services": [{"name": "pool"}, {"name": "off", "standby": True}],
}
WORK_MS = 300

# Timeout after which a wait fails its test.
WAIT_TIMEOUT_S = 20.0


class Entry(EntryProcess):
    """Process of an entry host, with calls to its listeners."""

    def __init__(self, folder, name: str, platform_port: int) -> None:
        super().__init__(folder, name, entry_ports(platform_port))
        self.front, self.ready = self.ports.front, self.ports.ready
        self.peer, self.metrics = self.ports.peer, self.ports.metrics

    def call(self, port: int, method: str, path: str, body=None) -> tuple[int, dict]:
        """Return status and JSON of an answer, or (0, {}) if there is none."""
        conn = http.client.HTTPConnection("127.0.0.1", port, timeout=4)
        try:
            data = json.dumps(body) if body is not None else None
            conn.request(method, path, data, {"Host": "jobs.example"})
            answer = conn.getresponse()
            text = answer.read()
        except OSError:
            return 0, {}
        finally:
            conn.close()
        return answer.status, json.loads(text) if text.startswith(b"{") else {}

    def jobs(self, method: str, path: str, body=None) -> tuple[int, dict]:
        """Send a request to the callers' front."""
        return self.call(self.front, method, path, body)

    @property
    def is_ready(self) -> bool:
        return self.call(self.ready, "GET", "/guavapin/ready")[0] == 200

    @property
    def is_scheduling(self) -> bool:
        messages = [
            row["message"]
            for row in self.log_rows()
            if row["message"] in ("scheduling", "term ends")
        ]
        return messages[-1:] == ["scheduling"] and self.process.poll() is None

    @property
    def knows_scheduler(self) -> bool:
        known = [
            row["holder"]
            for row in self.log_rows()
            if row["message"] == "scheduler known"
        ]
        return bool(known and known[-1])

    def log_rows(self) -> list[dict]:
        return [json.loads(row) for row in self.log.read_text().splitlines()]


def wait_until(condition, what: str) -> None:
    """Poll until `condition` holds; fail after `WAIT_TIMEOUT_S`."""
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < end_s, f"waited too long for: {what}"
        time.sleep(0.05)


class Site:
    """Stand-in of the platform, and two entry hosts that use it."""

    def __init__(self, folder, work_ms: int = WORK_MS) -> None:
        (self.port,) = free_ports(1)
        self.kernel = Kernel(SystemClock())
        cfg = FrontConfig(port=self.port, health_path="", ready_path="")
        pools = (StandInPool("pool", 4, work_ms),)
        platform = ResidentPlatformTask(pools, (f"127.0.0.1:{self.port}",))
        self.kernel.register(platform)
        self.kernel.register(FrontTask(cfg, "platform_front", platform.name))
        assert str(self.kernel.start()).startswith("Ok")
        self.put("op/config", MANIFEST)
        self.entries = [Entry(folder, f"e{n}", self.port) for n in range(2)]
        try:
            self._wait_for_start()
        except BaseException:
            # A fixture that fails is not torn down, and its processes would run on.
            self.stop()
            raise

    def _wait_for_start(self) -> None:
        wait_until(lambda: all(e.is_ready for e in self.entries), "readiness")
        wait_until(lambda: any(e.is_scheduling for e in self.entries), "a scheduler")
        # An entry host that knows no scheduler yet accepts jobs through the store.
        wait_until(
            lambda: all(e.knows_scheduler for e in self.entries), "a known scheduler"
        )

    def put(self, key: str, value: object) -> None:
        """Write a key to the store as the operator would."""
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> None:
        """Write a key to the store as another writer would."""
        item = PutItem(key, value)
        self.kernel.ask("resident_platform", item).result(5)

    def view(self):
        """Return the runs, orders and statuses that the platform has recorded."""
        return self.kernel.ask("resident_platform", QueryPlatform()).result(5)

    def set_store_down(self, is_down: bool) -> None:
        """Make the store refuse every call, or answer again."""
        self.kernel.ask("resident_platform", SetStoreDown(is_down)).result(5)

    def scheduler(self) -> Entry:
        """Return the entry host that schedules."""
        wait_until(lambda: any(e.is_scheduling for e in self.entries), "a scheduler")
        return next(e for e in self.entries if e.is_scheduling)

    def stop(self) -> None:
        """Stop the entry hosts and the stand-in of the platform."""
        for entry in self.entries:
            entry.end()
        self.kernel.stop()


@pytest.fixture
def site(tmp_path):
    site = Site(tmp_path)
    yield site
    site.stop()


def job_id(number: int) -> str:
    return f"{number:016x}"


def submit(entry: Entry, number: int) -> int:
    body = {
        "spec": "x",
        "steps": [
            {"count": 2, "cpu": 500, "mem-mb": 100, "estimate-ms": 300},
            {"count": 1, "cpu": 500, "mem-mb": 100, "estimate-ms": 300, "after": [0]},
        ],
    }
    return entry.jobs("POST", f"/q/{job_id(number)}", body)[0]


def state(entry: Entry, number: int) -> str:
    return entry.jobs("GET", f"/q/{job_id(number)}")[1].get("state", "")


def assert_each_subtask_ran_once(site: Site, jobs: int) -> None:
    done = Counter(row.task for row in site.view().log if row.kind == "done")
    assert len(done) == 3 * jobs and set(done.values()) == {1}


def test_jobs_run_once_although_the_scheduler_is_killed(site: Site) -> None:
    # Guards against jobs that are lost or run twice because the scheduler is killed.
    first, second = site.entries
    for number in range(8):
        assert submit(site.entries[number % 2], number) == 200
    killed = site.scheduler()
    killed.process.kill()
    survivor = second if killed is first else first
    for number in range(8, 12):
        wait_until(lambda n=number: submit(survivor, n) == 200, "an accepted job")
    for number in range(12):
        wait_until(lambda n=number: state(survivor, n) == "succeeded", f"job {number}")
    assert_each_subtask_ran_once(site, 12)


def test_no_job_is_lost_during_a_store_outage(site: Site) -> None:
    # Guards against accepted jobs that are lost, and against refused jobs that run,
    # while the store refuses calls.
    entry = site.entries[0]
    for number in range(4):
        assert submit(entry, number) == 200
    site.set_store_down(True)
    refused = submit(entry, 9)
    assert refused in (503, 504)
    time.sleep(1.0)
    site.set_store_down(False)
    for number in range(4):
        wait_until(lambda n=number: state(entry, n) == "succeeded", f"job {number}")
    if refused == 503:
        assert all(job_id(9) not in row.task for row in site.view().log)


def test_sigterm_hands_the_duty_over_and_sighup_does_not(site: Site) -> None:
    # Guards against a process that ends on SIGHUP, and against requests that are cut
    # off when a process is stopped by SIGTERM.
    scheduler = site.scheduler()
    other = next(entry for entry in site.entries if entry is not scheduler)
    scheduler.process.send_signal(signal.SIGHUP)
    assert submit(scheduler, 1) == 200
    scheduler.process.send_signal(signal.SIGTERM)
    wait_until(lambda: other.is_scheduling, "the successor")
    assert not scheduler.is_ready
    assert submit(other, 2) == 200
    assert scheduler.process.wait(8) == 0
    for number in (1, 2):
        wait_until(lambda n=number: state(other, n) == "succeeded", f"job {number}")


def test_cancelled_unknown_and_waiting_jobs_are_answered_correctly(site: Site) -> None:
    # Guards against wrong answers of an entry host that does not schedule.
    scheduler = site.scheduler()
    other = next(entry for entry in site.entries if entry is not scheduler)
    assert other.jobs("GET", f"/q/{job_id(77)}")[0] == 410
    assert other.jobs("DELETE", f"/q/{job_id(77)}")[0] == 410
    assert other.jobs("GET", "/nowhere/")[0] == 404
    assert submit(other, 1) == 200
    assert other.jobs("DELETE", f"/q/{job_id(1)}")[0] == 200
    assert state(scheduler, 1) == "cancelled"
    assert other.jobs("GET", "/q/") == (200, {"pending": 0})
    status, _ = scheduler.call(scheduler.metrics, "GET", "/metrics")
    assert status == 200


def test_operators_see_queues_hosts_and_jobs(site: Site, capsys) -> None:
    # Guards against a job that waits for a reason that operators cannot see.
    scheduler = site.scheduler()
    other = next(entry for entry in site.entries if entry is not scheduler)
    # The first job takes all machines for a minute.
    for number, count in ((4, 4), (5, 1)):
        steps = [{"count": count, "cpu": MACHINE_CAPACITY["cpu"], "estimate-ms": 100}]
        job = {"spec": f"{WORK_SPEC}60000", "steps": steps}
        assert other.jobs("POST", f"/q/{job_id(number)}", job)[0] == 200
        wait_until(lambda: len(site.view().log) == 4, "runs on all machines")
    url = f"http://127.0.0.1:{scheduler.peer}"
    assert main(["scheduling", "--url", url]) == 0
    assert "jobs.example/q/" in capsys.readouterr().out
    assert main(["scheduling", "--url", url, "--job", job_id(5)]) == 0
    assert "have no room" in capsys.readouterr().out
    assert main(["scheduling", "--url", f"http://127.0.0.1:{other.peer}"]) != 0
    assert f"ask 127.0.0.1:{scheduler.peer}" in capsys.readouterr().err


def test_any_entry_host_says_where_a_job_would_go(site: Site, capsys, tmp_path) -> None:
    # Guards against an explanation that only the scheduler can give, that submits the
    # job, or that goes silent at a host that is cut off from the scheduler.
    scheduler = site.scheduler()
    other = next(entry for entry in site.entries if entry is not scheduler)
    path = tmp_path / "job.json"
    path.write_text(json.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 99_000}]}))
    query = ["where", "--host", "jobs.example", "--path", "/q/", "--job-file"]
    for entry in site.entries:
        url = f"http://127.0.0.1:{entry.peer}"
        # The job is rejected once the scheduler knows all machines.
        wait_until(
            lambda url=url: (
                main([*query, str(path), "--url", url]) == 0
                and "no machine can ever hold step 0" in capsys.readouterr().out
            ),
            "the rejection of a job that no machine can hold",
        )
        assert main([*query, str(path), "--url", url]) == 0
        out = capsys.readouterr().out
        assert "queue jobs.example/q/, pool pool" in out
        assert "would be rejected" in out and "no host of the pool" in out
    assert main([*query, str(path), "--url", url, "--output", "json"]) == 0
    (step,) = json.loads(capsys.readouterr().out)["placement"]["steps"]
    assert step["excluded"] == {"room": 4} and step["pool_hosts"] == 4
    path.write_text('{"spec": "x", "steps": [{"count": "two"}]}')
    assert main([*query, str(path), "--url", url]) == 2
    assert "$.steps[0].count" in capsys.readouterr().err
    assert main([*query, str(tmp_path / "none"), "--url", url]) == 2
    assert "none" in capsys.readouterr().err
    scheduler.signal(signal.SIGSTOP)
    try:
        path.write_text(json.dumps({"spec": "x", "steps": [{"count": 1}]}))
        url = f"http://127.0.0.1:{other.peer}"
        args = [*query, str(path), "--url", url, "--timeout-ms", "300"]
        assert main(args) == 0
        assert "scheduler: 127.0.0.1" in capsys.readouterr().out
    finally:
        scheduler.signal(signal.SIGCONT)
    assert site.view().log == ()


def test_a_wave_is_carried_out_and_its_status_is_stored(site: Site) -> None:
    # Guards against a wave that is never done, or is reported as done too early.
    machines = ["m-0", "m-1"]
    site.put("op/wave/1", {"phase": 1, "machines": machines, "duration-s": 9, "cap": 1})
    done = base64.b64encode(b'{"state":"succeeded"}').decode()
    wait_until(lambda: site.view().statuses.get("status/wave/1") == done, "the wave")
    orders = [order for order in site.view().orders if order[0] == "machine-upkeep"]
    assert sorted(machine for _, machine in orders) == machines


ENTRY = {
    "service": "pool",
    "address": "127.0.0.1:9",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 4_000, "mem-mb": 8_000, "gpus": 0},
    "labels": ["a", "r"],
    "born": 1,
}


def test_a_cancelled_job_stops_although_the_registry_has_unusable_entries(
    tmp_path,
) -> None:
    # Guards against subtasks that run on after the cancelling of their job was
    # acknowledged: entries of another writer ended each process that scheduled, so that
    # none was left to stop them.
    site = Site(tmp_path, work_ms=60_000)
    try:
        scheduler = site.scheduler()
        other = next(entry for entry in site.entries if entry is not scheduler)
        assert submit(other, 1) == 200
        wait_until(lambda: len(site.view().log) == 2, "two runs")
        site.put("servers/x-1", {**ENTRY, "address": "[::1%r\u00e9seau]:8080"})
        site.put("servers/x-2", {**ENTRY, "address": "127.0.0.1:99999"})
        site.put("servers/x-3", {**ENTRY, "clock-ms": 1e300})
        site.put("servers/x-\u00e9", ENTRY)
        site.put_bytes("servers/x-4", b"[" * 100_000)
        time.sleep(1.0)
        assert other.jobs("DELETE", f"/q/{job_id(1)}")[0] == 200
        wait_until(lambda: len(site.view().log) == 4, "the ends of both runs")
        ends = [row.kind for row in site.view().log[2:]]
        # A run that nobody stops ends with its lease, as lapsed.
        assert ends == ["stopped", "stopped"]
        assert all(entry.process.poll() is None for entry in site.entries)
    finally:
        site.stop()
