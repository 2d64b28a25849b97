"""A site of separate processes on loopback, for `guavapin_bench.slopes`."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import tomli_w

from guavapin.console.client import OperatorsClient
from guavapin.fleet.codec import decode_fleet
from guavapin.fleet.codec import encode_fleet
from guavapin.fleet.state import FLEET_KEY
from guavapin.fleet.state import FleetState
from guavapin.kernel import Refused
from guavapin.objects.codec import encode_text
from guavapin.operators.configuration_calls import PublishBody

if TYPE_CHECKING:
    from guavapin.objects.model import ObjectSet

TOKEN = "slopes-operator-token"
# Below the range of the system's ephemeral ports. Each site has its own part of the
# range, since sites that start at the same time find the same ports free.
FIRST_PORT, PORTS_PER_SITE, PORT_RANGES = 10_000, 800, 24
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 15
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Node:
    """Names and addresses of one entry host."""

    name: str
    zone: str
    seat: int
    callers: str
    operators: str
    peers: str
    control: str


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time of a process since its start, and its present memory."""

    cpu_s: float
    resident_bytes: int


class SlopeSite:
    """Runs the platform stand-in, entry processes and control processes.

    The first entry process is the product's daemon; the others are `slopes_node`, which
    adds a report. `start_controls` starts the control processes.
    """

    def __init__(self, objects: ObjectSet, entries: int, folder: Path, seed: int):
        self.objects = objects
        self._folder = folder
        self._ports = _free_ports(5 * entries + 1, seed)
        self._platform_port = self._ports.pop()
        self.nodes = self._name_nodes(entries)
        self.entries: list[subprocess.Popen[str]] = []
        self.controls: list[subprocess.Popen[str]] = []
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> SlopeSite:
        """Start the platform, make all hosts live, start the entry processes."""
        (self._folder / "tokens").write_text(f"bench {TOKEN}\n", encoding="utf-8")
        port = str(self._platform_port)
        try:
            self._spawn("guavapin_standins.platform", "--port", port)
            self._wait_until_open(f"127.0.0.1:{port}")
            self._make_hosts_live()
            for index, node in enumerate(self.nodes):
                module = "guavapin_bench.slopes_node"
                if index == 0:
                    module = "guavapin.daemons.entry"
                path = self._write(f"{node.name}.toml", self._entry_settings(node))
                self.entries.append(self._spawn(module, "--settings", path))
            for node in self.nodes:
                self._wait_until_open(node.operators)
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Kill all processes by their process ids."""
        self._stack.close()

    def start_controls(self) -> None:
        """Start one control process per entry host."""
        for node in self.nodes:
            path = self._write(f"{node.name}-c.toml", self._control_settings(node))
            self.controls.append(
                self._spawn(
                    "guavapin_bench.slopes_node", "--settings", path, "--control"
                )
            )
        for node in self.nodes:
            self._wait_until_open(node.control)

    def publish(self, objects: ObjectSet, base: int) -> float:
        """Publish at the last entry host; return the seconds until it is in force."""
        text = encode_text(objects)
        body = PublishBody(base, text, "slopes", f"slopes-{base}", wait_ms=20_000)
        began = time.monotonic()
        self.post("/publish", body)
        self.objects = objects
        return time.monotonic() - began

    def post(self, path: str, body: object) -> Any:
        """Post to the operators' interface; raises RuntimeError on all but 200."""
        outcome = self._client().post(f"/operator/v1{path}", body)
        if isinstance(outcome, Refused) or outcome.value.status != 200:
            raise RuntimeError(f"{path}: {outcome}")
        return outcome.value.body

    def get(self, path: str) -> Any:
        """Read from the operators' interface; raises RuntimeError on all but 200."""
        outcome = self._client().get(f"/operator/v1{path}")
        if isinstance(outcome, Refused) or outcome.value.status != 200:
            raise RuntimeError(f"{path}: {outcome}")
        return outcome.value.body

    def platform_counters(self) -> dict[str, Any]:
        """Return the counters of the platform stand-in."""
        counters: dict[str, Any] = json.loads(
            self._call_platform("GET", "/standin/counters")[1]
        )
        return counters

    def reports(self) -> list[dict[str, float]]:
        """Return the reports of all entry processes except the first."""
        found = []
        for process in self.entries[1:]:
            assert process.stdin is not None
            assert process.stdout is not None
            process.stdin.write("\n")
            process.stdin.flush()
            found.append(json.loads(process.stdout.readline()))
        return found

    def run_command(self, *args: str) -> tuple[float, int]:
        """Run ``guavapin``; return its processor seconds and peak memory in bytes."""
        command = [sys.executable, "-m", "guavapin.console.app", *args]
        url = f"http://{self.nodes[0].operators}"
        env = {**os.environ, "GUAVAPIN_URL": url, "GUAVAPIN_TOKEN": TOKEN}
        process = subprocess.Popen(command, env=env, stdout=subprocess.DEVNULL)
        _, status, used = os.wait4(process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(status)
        if process.returncode:
            raise RuntimeError(f"guavapin {args[0]}: exit code {process.returncode}")
        return used.ru_utime + used.ru_stime, used.ru_maxrss * 1024

    def place_hosts(self) -> None:
        """Write a fleet record that places every host, as in a long-running fleet."""
        record = FleetState(
            placements={host.name: host.pool for host in self.objects.hosts.values()}
        )
        status, _ = self._call_platform(
            "PUT", f"/v1/kv/{FLEET_KEY}?expect=0", encode_fleet(record)
        )
        if status != 200:
            raise RuntimeError(f"writing the fleet record: status {status}")

    def placed_hosts(self) -> int:
        """Return the number of hosts in the fleet record, or 0 without a record."""
        status, body = self._call_platform("GET", f"/v1/kv/{FLEET_KEY}")
        if status != 200:
            return 0
        record = decode_fleet(body)
        return 0 if isinstance(record, Refused) else len(record.value.placements)

    def _client(self) -> OperatorsClient:
        return OperatorsClient(f"http://{self.nodes[-1].operators}", token=TOKEN)

    def _name_nodes(self, entries: int) -> list[Node]:
        zones = list(self.objects.zones)
        nodes = []
        for index in range(entries):
            zone, seat = zones[index % len(zones)], index // len(zones)
            name = f"{zone}-e{seat}"
            ports = [f"127.0.0.1:{self._ports.pop()}" for _ in range(4)]
            nodes.append(Node(name, zone, seat, *ports))
        return nodes

    def _entry_settings(self, node: Node) -> dict[str, Any]:
        seeds = [
            {"name": other.name, "zone": other.zone, "address": other.peers}
            for other in self.nodes
            if other.name != node.name
        ]
        return {
            **self._shared_settings(node, node.operators),
            "callers": {"address": node.callers},
            "peers": {"address": node.peers, "seed": seeds},
        }

    def _control_settings(self, node: Node) -> dict[str, Any]:
        return self._shared_settings(node, node.control)

    def _shared_settings(self, node: Node, operators: str) -> dict[str, Any]:
        return {
            "node": {
                "name": node.name,
                "zone": node.zone,
                "seat": node.seat,
                "log_level": "error",
            },
            "operators": {
                "address": operators,
                "token_file": str(self._folder / "tokens"),
            },
            "platform": {"address": f"127.0.0.1:{self._platform_port}"},
        }

    def _write(self, name: str, settings: dict[str, Any]) -> str:
        path = self._folder / name
        path.write_text(tomli_w.dumps(settings), encoding="utf-8")
        return str(path)

    def _spawn(self, module: str, *args: str) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._stack.callback(_kill, process)
        return process

    def _wait_until_open(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with (
                contextlib.suppress(OSError),
                socket.create_connection((host, int(port)), 1),
            ):
                return
            time.sleep(0.1)
        raise RuntimeError(f"nothing listens on {address}")

    def _make_hosts_live(self) -> None:
        conn = http.client.HTTPConnection("127.0.0.1", self._platform_port, timeout=10)
        for name in self.objects.hosts:
            conn.request("PUT", f"/standin/hosts/{name}?state=live")
            conn.getresponse().read()
        conn.close()

    def _call_platform(
        self, method: str, path: str, body: bytes | None = None
    ) -> tuple[int, bytes]:
        conn = http.client.HTTPConnection("127.0.0.1", self._platform_port, timeout=10)
        conn.request(method, path, body)
        answer = conn.getresponse()
        found = answer.status, answer.read()
        conn.close()
        return found


def usage_of(process: subprocess.Popen[str]) -> Usage:
    """Return the processor time and the memory of a running process."""
    folder = Path(f"/proc/{process.pid}")
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    lines = (folder / "status").read_text().splitlines()
    resident = next(line for line in lines if line.startswith("VmRSS:"))
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return Usage(cpu_s, int(resident.split()[1]) * 1024)


def _kill(process: subprocess.Popen[str]) -> None:
    process.kill()
    process.communicate(timeout=STOP_TIMEOUT_S)


def _free_ports(count: int, seed: int) -> list[int]:
    first = FIRST_PORT + seed % PORT_RANGES * PORTS_PER_SITE
    ports = []
    for port in range(first, first + PORTS_PER_SITE):
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
            ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError("not enough free ports")
