"""Cost of one entry process: throughput, added time, processor time and memory.

Run as ``python -m guavapin_bench.throughput --seed 1``. The load generator, the
upstream stand-in and the entry are separate processes, so that they do not share an
interpreter lock; the benchmark starts and ends them. Rounds of direct and forwarded
requests alternate and their medians are compared, because other work on the machine
affects both.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import select
import socket
import statistics
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# Targets at 32 connections, relative to direct requests: at least half of the
# throughput and at most three times the p99.
MIN_THROUGHPUT_SHARE = 0.5
MAX_P99_RATIO = 3.0
TARGET_CONNECTIONS = 32
ENTRY = "guavapin_bench.entry_process"
START_TIMEOUT_S = 10
STOP_TIMEOUT_S = 10
LOAD_TIMEOUT_S = 120
IDLE_CONNECTIONS = 1_000
REQUESTS_IN_PROGRESS = 400
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Server:
    """A process that the benchmark has started and that listens on `port`."""

    pid: int
    port: int

    def cpu_s(self) -> float:
        """Return the processor time used so far, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def memory_bytes(self) -> int:
        """Return the resident memory in bytes."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class Load:
    """Result of a load generator, with the server's processor time per request."""

    per_second: float
    p50_ms: float
    p99_ms: float
    cpu_us: float


@contextlib.contextmanager
def serve(module: str, *args: str) -> Iterator[Server]:
    """Run a module that prints its port, and terminate it by its process id."""
    command = [sys.executable, "-m", module, *args]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout is not None
        ready, _, _ = select.select([process.stdout], [], [], START_TIMEOUT_S)
        line = process.stdout.readline() if ready else ""
        if not line.strip().isdigit():
            raise RuntimeError(f"{module} {' '.join(args)} did not start: {line!r}")
        yield Server(process.pid, int(line))
    finally:
        process.terminate()
        process.wait(STOP_TIMEOUT_S)


def run_load(
    server: Server, connections: int, options: argparse.Namespace, seed: int
) -> Load:
    """Run one load generator against `server`."""
    command = [sys.executable, "-m", "guavapin_bench.load_generator"]
    command += ["--port", str(server.port), "--connections", str(connections)]
    command += ["--requests", str(options.requests), "--seed", str(seed)]
    command += ["--post-share", str(options.post_share)]
    command += ["--run-ms", str(options.run_ms)]
    before_s = server.cpu_s()
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=LOAD_TIMEOUT_S, check=True
    )
    result = json.loads(done.stdout)
    cpu_us = (server.cpu_s() - before_s) / options.requests * 1e6
    return Load(
        result["per_second"], result["p50_ms"], result["p99_ms"], round(cpu_us, 1)
    )


def median(loads: list[Load]) -> Load:
    """Return the median of each figure."""
    return Load(
        statistics.median(load.per_second for load in loads),
        statistics.median(load.p50_ms for load in loads),
        statistics.median(load.p99_ms for load in loads),
        statistics.median(load.cpu_us for load in loads),
    )


def compare(
    servers: dict[str, Server], connections: int, options: argparse.Namespace
) -> dict[str, Load]:
    """Run `options.rounds` rounds of load on each server in turn; return medians."""
    loads: dict[str, list[Load]] = {name: [] for name in servers}
    for number in range(options.rounds + 1):
        for name, server in servers.items():
            load = run_load(server, connections, options, options.seed + number)
            if number:  # The first round warms up the processes.
                loads[name].append(load)
    return {name: median(server_loads) for name, server_loads in loads.items()}


def print_loads(title: str, loads: dict[str, Load]) -> None:
    """Print one line per server."""
    print(f"\n{title}")
    print(f"{'':12}{'requests/s':>12}{'p50 ms':>9}{'p99 ms':>9}{'cpu us/request':>16}")
    for name, load in loads.items():
        print(
            f"{name:12}{load.per_second:12.0f}{load.p50_ms:9.2f}{load.p99_ms:9.2f}"
            f"{load.cpu_us:16.0f}"
        )


def measure_path(options: argparse.Namespace) -> bool:
    """Compare the entry with direct requests; return whether the target is met.

    The kind `adapters` has a pass-through in place of the task `exchanges`.
    """
    is_met = True
    with contextlib.ExitStack() as stack:
        upstream = stack.enter_context(
            serve("guavapin_standins.upstream", "--slots", "64")
        )
        servers = {"direct": upstream}
        for kind in ("adapters", "product"):
            address = f"127.0.0.1:{upstream.port}"
            entry = serve(ENTRY, "--upstream", address, "--kind", kind)
            servers[kind] = stack.enter_context(entry)
        for connections in (1, TARGET_CONNECTIONS):
            loads = compare(servers, connections, options)
            print_loads(f"path, {connections} connections", loads)
            direct = loads.pop("direct")
            for kind, load in loads.items():
                share = load.per_second / direct.per_second
                ratio = load.p99_ms / direct.p99_ms
                print(
                    f"{kind}: throughput share {share:.2f}, p99 ratio {ratio:.2f}, "
                    f"added at p50 {load.p50_ms - direct.p50_ms:.2f} ms"
                )
                if connections == TARGET_CONNECTIONS and kind == "product":
                    is_met = share >= MIN_THROUGHPUT_SHARE and ratio <= MAX_P99_RATIO
    return is_met


def measure_designs(options: argparse.Namespace) -> None:
    """Compare the event loop with a thread per connection; both answer at once."""
    with (
        serve(ENTRY, "--kind", "stub") as loop,
        serve(ENTRY, "--kind", "threads") as threads,
    ):
        for connections in (1, TARGET_CONNECTIONS):
            servers = {"event loop": loop, "threads": threads}
            loads = compare(servers, connections, options)
            print_loads(f"front alone, {connections} connections", loads)


def open_many(port: int, count: int, request: bytes) -> list[socket.socket]:
    """Open `count` connections and send `request` on each, unless it is empty."""
    socks = []
    for _ in range(count):
        sock = socket.create_connection(("127.0.0.1", port), 10)
        if request:
            sock.sendall(request)
        socks.append(sock)
    time.sleep(1.0)
    return socks


def measure_memory() -> None:
    """Print the entry's memory per connection and per request in progress."""
    request = b"GET / HTTP/1.1\r\nHost: bench\r\nGuavapin-Run-Ms: 60000\r\n\r\n"
    with (
        serve(
            "guavapin_standins.upstream", "--slots", "4096", "--connections", "4096"
        ) as upstream,
        serve(ENTRY, "--upstream", f"127.0.0.1:{upstream.port}") as entry,
    ):
        start_bytes = entry.memory_bytes()
        idle = open_many(entry.port, IDLE_CONNECTIONS, b"")
        idle_bytes = entry.memory_bytes()
        busy = open_many(entry.port, REQUESTS_IN_PROGRESS, request)
        busy_bytes = entry.memory_bytes()
        for sock in (*idle, *busy):
            sock.close()
    per_connection = (idle_bytes - start_bytes) / IDLE_CONNECTIONS
    per_request = (busy_bytes - idle_bytes) / REQUESTS_IN_PROGRESS - per_connection
    print(f"\nmemory: process {start_bytes / 2**20:.1f} MB at start, ", end="")
    print(f"{per_connection / 1024:.1f} KB a connection, ", end="")
    print(f"{per_request / 1024:.1f} KB a request in progress")


def main(args: list[str] | None = None) -> int:
    """Run the benchmark; exit code 1 if a target is missed."""
    parser = argparse.ArgumentParser(prog="python -m guavapin_bench.throughput")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=8_000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--post-share", type=float, default=0.0)
    parser.add_argument("--run-ms", type=int, default=0)
    parser.add_argument("--only", choices=("path", "designs", "memory"), default=None)
    options = parser.parse_args(args)
    is_met = True
    if options.only in (None, "path"):
        is_met = measure_path(options)
        print(f"\ntarget {'met' if is_met else 'missed'}: ", end="")
        print(f"throughput share >= {MIN_THROUGHPUT_SHARE}, p99 <= {MAX_P99_RATIO}x")
    if options.only in (None, "designs"):
        measure_designs(options)
    if options.only in (None, "memory"):
        measure_memory()
    return 0 if is_met else 1


if __name__ == "__main__":
    raise SystemExit(main())
