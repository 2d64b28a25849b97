"""Stand-ins for the platform, the executors and the requesters, on loopback.

Everything runs in one asyncio loop of one process. The nodes of guavapin are separate
processes that are started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[2]

# Figures of the small deployment (gagnon-jobs).
HEARTBEAT_S = 1.5
LIVENESS_S = 3 * HEARTBEAT_S
# Pause before an executor repeats a write of its entry that the store refused.
REGISTER_RETRY_S = 0.2
MAX_HOLD_MS = 6_000
STOP_MS = 30
ENDS_PER_ANSWER = 500
ITEMS_PER_PAGE = 500

SETTINGS = """\
node={node}
role=resident
machine-class=edge
serves=edge
ip={ip}
zone=est-a
region=quebec-est
zones.est-a=quebec-est
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
port-range={peer},{peer}
bootstrap=true
in-tolerance=false
limits.cpu-share=0.537
limits.cores=2
limits.memory-mb=300
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=vip
heartbeat-ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
fault-tolerance.machines=1
fault-tolerance.zones=1
fault-tolerance.regions=0
bounds.seed-lag-s=3
bounds.addr-reuse-s=2
bounds.stable-window-ms=3000
bounds.ack-ms=4000
bounds.catchup-s=4
bounds.drain-ms=2000
bounds.grace-s=6
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.max-stretch-ms=5000
bounds.recovery-s=12
bounds.max-hold-ms=6000
bounds.stop-timeout-ms=400
bounds.gang-timeout-ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.far-x=3
bounds.checkpoint-s=0.5
bounds.restore-ms=600
bounds.notice-ms=4500
bounds.migrate-s=1.5
bounds.maintenance-s=2
bounds.require-fencing=true
bounds.lease-ms=3000
bounds.thaw-slack-ms=300
bounds.pace-ms=100
bounds.harm-ms=4000
control-mode=rpc
hint={hint}
platform.address={store}
platform.form=kv
platform.writes-per-s=400
platform.reads-per-s=2000
platform.retention-s=20
platform.value-bytes=1048576
platform.min-ttl-ms=1000
cloud.address={store}
cloud.rate-per-s=64.0
cloud.duties=
cloud.duty-per-s=64.0
"""


def now_ms() -> float:
    return time.monotonic() * 1_000


class Record:
    """What was sent, answered and run, in order of time; written at the end."""

    def __init__(self) -> None:
        self.started_ms = now_ms()
        self.lines: list[str] = []

    def add(self, text: str) -> float:
        at_ms = now_ms() - self.started_ms
        self.lines.append(f"{at_ms:9.1f} {text}")
        return at_ms

    def write(self, path: Path) -> None:
        path.write_text("\n".join(self.lines) + "\n")


class HttpServer:
    """A server whose handler may wait; `abort` resets all its connections."""

    def __init__(self, handler) -> None:
        self._handler = handler
        self._server = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def open(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self._server = await asyncio.start_server(
            self._serve, host, port, reuse_address=True, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        self.abort()

    def abort(self) -> None:
        for writer in [*self._writers]:
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *rows = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {}
                for row in rows:
                    name, _, value = row.partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                answer = await self._handler(method, target, headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


@dataclass
class Item:
    value: bytes
    revision: int
    created: int
    lease: int = 0


class Store:
    """The platform's store and its list of machines, on one port."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.items: dict[str, Item] = {}
        self.revision = 1
        self._events: list[tuple[int, str, bytes | None]] = []
        self._leases: dict[int, list[float]] = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        self.is_down = False
        self._down_since = 0.0
        self.server = HttpServer(self._handle)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server.port}"

    def set_down(self, is_down: bool) -> None:
        """Answer 503 to every call; leases pause meanwhile."""
        if is_down:
            self._down_since = now_ms()
        else:
            for lease in self._leases.values():
                lease[1] += now_ms() - self._down_since
        self.is_down = is_down
        self._wake()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self.revision += 1
        self._put(key, value, lease)
        self._wake()

    def remove(self, key: str) -> None:
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._wake()

    async def expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.is_down:
                continue
            ended = [n for n, row in self._leases.items() if now_ms() > row[1]]
            for number in ended:
                self._end_lease(number)

    def _put(self, key: str, value: bytes, lease: int) -> None:
        old = self.items.get(key)
        created = old.created if old is not None else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self._events.append((self.revision, key, value))

    def _remove(self, key: str) -> None:
        self.items.pop(key, None)
        self._events.append((self.revision, key, None))

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, number: int) -> None:
        self._leases.pop(number, None)
        keys = [key for key, item in self.items.items() if item.lease == number]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._wake()

    def _row(self, key: str) -> dict:
        item = self.items.get(key)
        if item is None:
            return {"key": key, "revision": 0}
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    async def _handle(self, method, target, headers, body):
        path, _, text = target.partition("?")
        query = {name: rows[0] for name, rows in parse_qs(text).items()}
        name = path.removeprefix("/guavapin/")
        await asyncio.sleep(0.003)
        if name == "machines":
            return 200, {"machines": self._world.machine_rows(), "next-token": None}
        if name.startswith("machine-"):
            return 400, {}
        if self.is_down:
            return 503, {}
        if name == "kv-key":
            key = query["key"]
            return (200, self._row(key)) if key in self.items else (404, {})
        if name == "kv-range":
            return self._range(query)
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(json.loads(body))
        if name == "kv-lease":
            ttl_ms = max(json.loads(body)["ttl-ms"], 1_000)
            self._next_lease += 1
            self._leases[self._next_lease] = [ttl_ms, now_ms() + ttl_ms]
            return 200, {"lease": self._next_lease, "ttl-ms": ttl_ms}
        number = int(name.rpartition("/")[2])
        if name.startswith("kv-keep/"):
            if number not in self._leases:
                return 404, {}
            row = self._leases[number]
            row[1] = now_ms() + row[0]
            return 200, {"lease": number, "ttl-ms": row[0]}
        if name.startswith("kv-lease-end/"):
            self._end_lease(number)
            return 200, {}
        return 404, {}

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[:ITEMS_PER_PAGE]
        return 200, {
            "items": [self._row(key) for key in page],
            "more-pages": len(keys) > len(page),
            "current-rev": self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = now_ms() + min(int(query.get("wait-ms", 0)), 30_000)
        while True:
            if self.is_down:
                return 503, {}
            changed = self._changed
            rows = []
            for revision, key, value in reversed(self._events):
                if revision <= after:
                    break
                if key.startswith(prefix):
                    row = {"key": key, "revision": revision}
                    if value is None:
                        row["tombstone"] = True
                    else:
                        row["value"] = base64.b64encode(value).decode()
                    rows.append(row)
            left = until - now_ms()
            if rows or left <= 0:
                events = rows[::-1]
                return 200, {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left / 1_000)
            except TimeoutError:
                pass

    def _transact(self, call):
        expect = call.get("expect", [])
        puts, removes = call.get("set-keys", []), call.get("remove", [])
        if len(expect) + len(puts) + len(removes) > 32:
            return 400, {}
        keys = [row["key"] for row in puts] + removes
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        for row in expect:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"items": [self._row(r["key"]) for r in expect]}
        if any(row.get("lease", 0) and row["lease"] not in self._leases for row in puts):
            return 404, {}
        self.revision += 1
        for row in puts:
            value = base64.b64decode(row["value"])
            self._put(row["key"], value, row.get("lease", 0))
        for key in removes:
            if key in self.items:
                self._remove(key)
        self._wake()
        return 200, {"revision": self.revision}


@dataclass
class RunEvent:
    """An event of a run: start, end, noted (its end was acknowledged) or gone.

    `lapse` is the end of the executor's lease, whether anything runs there or not.
    """

    at_ms: float
    kind: str
    executor: str
    born: int
    task: str
    attempt: int
    how: str = ""


@dataclass
class Run:
    task: str
    attempt: int
    started: float
    work_ms: float
    timer: object = None


class Executor:
    """One executor, of any number of lives under one id and one address.

    A subtask's `spec` is JSON: `ms` is how long it works, `fail` that it then fails.
    """

    def __init__(self, world, executor_id, pool, cpu, mem_mb, rack) -> None:
        self._world = world
        self.id, self.pool, self.rack = executor_id, pool, rack
        self.cpu, self.mem_mb = cpu, mem_mb
        # Whether starts need a ticket of the adviser, and how many were refused.
        self.needs_ticket = False
        self.refused = 0
        self.server = HttpServer(self._handle)
        self.is_up = False
        self._seq = 0
        self._lease = 0
        self._beat_task = None

    async def start(self) -> None:
        """Begin a life: nothing is held or known of before."""
        self.born = int(time.time() * 1_000)
        self._boot = now_ms()
        self._token = 0
        self._until = 0.0
        self._has_lapsed = True
        self._number = 0
        self.runs: dict[str, Run] = {}
        self._ends: list[list] = []
        self._barred: dict[str, int] = {}
        self._ended = asyncio.Event()
        await self.server.open("127.0.0.1", self.server.port)
        self.is_up = True
        self._world.record.add(f"executor {self.id} up, born {self.born}")
        self._beat_task = asyncio.create_task(self._beat())

    def crash(self) -> None:
        """End a life without a word; its entry stays until three beats are missed."""
        self.is_up = False
        self._beat_task.cancel()
        for run in [*self.runs.values()]:
            run.timer.cancel()
            self._world.event("gone", self, run.task, run.attempt)
        self.runs.clear()
        self.server.close()
        self._world.record.add(f"executor {self.id} crashed")

    async def _beat(self) -> None:
        """Write the entry, soon again after a refusal, and end lapsed runs."""
        next_ms = 0.0
        while True:
            if now_ms() >= next_ms:
                is_written = self._register()
                pause_s = HEARTBEAT_S if is_written else REGISTER_RETRY_S
                next_ms = now_ms() + pause_s * 1_000
            if not self._has_lapsed and self.clock() > self._until:
                self._has_lapsed = True
                self._world.event("lapse", self, "-", 0)
                for run in [*self.runs.values()]:
                    self._end(run, "lapsed")
            await asyncio.sleep(0.02)

    def _register(self) -> bool:
        store = self._world.store
        if store.is_down:
            return False
        self._seq += 1
        entry = {
            "service": self.pool,
            "address": f"127.0.0.1:{self.server.port}",
            "zone": "est-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "seq": self._seq,
            "born": self.born,
            "clock-ms": self.clock(),
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem_mb, "gpus": 0},
            "labels": ["a", self.rack],
        }
        store.put(f"servers/{self.id}", json.dumps(entry).encode())
        return True

    def clock(self) -> int:
        """The executor's own steady clock."""
        return int(now_ms() - self._boot) + 1_000

    async def _handle(self, method, target, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {"clock-ms": self.clock()}
        # The network's delay, both ways: 0.5 ms one way between zones.
        await asyncio.sleep(0.001)
        call = json.loads(body) if body else {}
        token = call.get("fencing-token", 0)
        name = target.removeprefix("/guavapin/")
        if name == "pace":
            return 200, {"clock-ms": self.clock()}
        if token < self._token:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}
        self._token = token
        if "deadline-ms" in call:
            until = min(call["deadline-ms"], self.clock() + MAX_HOLD_MS)
            self._until = max(self._until, until)
            self._has_lapsed = self.clock() > self._until
        if name == "hold":
            return await self._hold(call)
        if name == "run-start":
            return self._start(call)
        if name == "run-stop":
            return self._stop(call)
        return 404, {}

    async def _hold(self, call):
        seen = call.get("last-seen", 0)
        for number, task, attempt, how, _ in self._ends:
            if number <= seen:
                self._world.event("noted", self, task, attempt, how)
        self._ends = [row for row in self._ends if row[0] > seen]
        wait_ms = min(call.get("wait-ms", 0), 2_000)
        if wait_ms and not self._ends:
            try:
                await asyncio.wait_for(self._ended.wait(), wait_ms / 1_000)
            except TimeoutError:
                pass
        running = []
        for run in self.runs.values():
            share = (now_ms() - run.started) / run.work_ms
            running.append([run.task, run.attempt, "", min(int(share * 100), 99), 0])
        return 200, {
            "clock-ms": self.clock(),
            "born": self.born,
            "running": running,
            "finished": self._ends[:ENDS_PER_ANSWER],
        }

    def _start(self, call):
        task, attempt = call["task"], call["attempt"]
        answer = {"clock-ms": self.clock()}
        known = self.runs.get(task)
        if known is not None and known.attempt == attempt:
            return 200, answer
        if attempt <= self._barred.get(task, 0) or known is not None:
            return 409, {**answer, "reason": "old"}
        if call["deadline-ms"] <= self.clock():
            return 409, {**answer, "reason": "late"}
        ticket = call.get("ticket", "")
        if self.needs_ticket and not self._world.adviser.is_valid(ticket, self, task):
            self.refused += 1
            if self.refused <= 20:
                self._world.record.add(f"{self.id} refuses {task}: ticket {ticket}")
            return 409, {**answer, "reason": "ticket"}
        spec = json.loads(call["spec"])
        run = Run(task, attempt, now_ms(), spec["ms"])
        how = "failed" if spec.get("fail") else "done"
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(spec["ms"] / 1_000, self._end, run, how)
        self.runs[task] = run
        self._world.event("start", self, task, attempt)
        return 200, answer

    def _stop(self, call):
        task, attempt = call["task"], call["attempt"]
        self._barred[task] = max(self._barred.get(task, 0), attempt)
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 1_000, self._end, run, "stopped")
        return 200, {"clock-ms": self.clock()}

    def _end(self, run: Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        run.timer.cancel()
        del self.runs[run.task]
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.attempt)
        self._number += 1
        self._ends.append([self._number, run.task, run.attempt, how, ""])
        self._world.event("end", self, run.task, run.attempt, how)
        self._ended.set()
        self._ended = asyncio.Event()


class Adviser:
    """The service that knows which executors may run a step.

    `allowed` holds their ids. A ticket is good for one step, for one life of the
    executor and for the queue's `validity-ms`.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._turn = asyncio.Lock()
        self.allowed: set[str] = set()
        self.decide_ms, self.per_worker_ms, self.validity_ms = 5, 1, 0
        self.server = HttpServer(self._handle)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server.port}"

    async def _handle(self, method, target, headers, body):
        call = json.loads(body)
        async with self._turn:
            count = len(call["workers"])
            await asyncio.sleep((self.decide_ms + self.per_worker_ms * count) / 1_000)
        lives = {e.id: e.born for e in self._world.executors}
        good = [
            [name, f"{call['step']}|{name}|{lives[name]}|{int(now_ms())}"]
            for name in call["workers"]
            if name in self.allowed
        ]
        self._world.record.add(f"advice on {call['step']}: {good}")
        return 200, {"good": good}

    def is_valid(self, ticket: str, executor: Executor, task: str) -> bool:
        step, name, born, issued = (ticket.split("|") + [""] * 4)[:4]
        return (
            step == task.rpartition(".")[0]
            and name == executor.id
            and born == str(executor.born)
            and now_ms() - int(issued) <= self.validity_ms
        )


class Node:
    """A process of guavapin, which the platform starts again when it ends."""

    def __init__(self, world, name: str, ip: str, folder: Path) -> None:
        self._world = world
        self.name, self.ip = name, ip
        self.front, self.ready, control, peer = free_ports(ip, 4)
        self.settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self.settings.write_text(
            SETTINGS.format(
                node=name,
                ip=ip,
                front=self.front,
                ready=self.ready,
                control=control,
                peer=peer,
                store=world.store.address,
                hint=world.adviser.address,
            )
        )
        self.exits: list[int] = []
        self.process = None

    async def run(self) -> None:
        """Run the process, and start it again half a second after its end."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["resident"]["run"].split()
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["GUAVAPIN_SETTINGS"] = str(self.settings)
        while True:
            with self.log.open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *command, cwd=ROOT, env=env, stdout=log, stderr=log,
                    stdin=asyncio.subprocess.DEVNULL,
                )
            self._world.record.add(f"node {self.name} started")
            code = await self.process.wait()
            self.exits.append(code)
            self._world.record.add(f"node {self.name} ended by itself, code {code}")
            await asyncio.sleep(0.5)

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()


def free_ports(ip: str, count: int) -> list[int]:
    sockets = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


async def http_call(host, port, method, path, body=None, headers=None, timeout=3.0):
    """Return status and JSON body, or None if there was no complete answer."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                data = json.dumps(body).encode() if body is not None else b""
                rows = {"Content-Type": "application/json", **(headers or {})}
                head = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
                writer.write(
                    f"{method} {path} HTTP/1.1\r\n{head}Connection: close\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                answer = await reader.read()
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return None
    head, _, content = answer.partition(b"\r\n\r\n")
    if not head:
        return None
    status = int(head.split(b" ", 2)[1])
    try:
        return status, json.loads(content) if content else {}
    except ValueError:
        return status, {}


HOST = "pule25.example"
PREFIX = "/puxa400/"


class World:
    """A small deployment: the platform, executors, nodes and one requester."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record = Record()
        self.store = Store(self)
        self.adviser = Adviser(self)
        self.executors: list[Executor] = []
        self.nodes: list[Node] = []
        self.events: list[RunEvent] = []
        self._tasks: list[asyncio.Task] = []
        self._next_job = 0
        self._turn = 0
        self.accepted: dict[str, float] = {}

    def event(self, kind, executor, task, attempt, how="") -> None:
        text = f"{kind} {task} attempt {attempt} on {executor.id} {how}"
        at_ms = self.record.add(text.rstrip())
        self.events.append(
            RunEvent(at_ms, kind, executor.id, executor.born, task, attempt, how)
        )

    def machine_rows(self) -> list[dict]:
        return [
            {
                "machine": f"m-{executor.id}",
                "pool": executor.pool,
                "state": "up",
                "zone": "est-a",
                "labels": ["a", executor.rack],
                "capacity": {"cpu": executor.cpu, "mem-mb": executor.mem_mb, "gpus": 0},
                "id": executor.id,
            }
            for executor in self.executors
        ]

    def manifest(self, version: int, routes: list[dict], services: list[str]) -> None:
        manifest = {
            "version": version,
            "routes": routes,
            "services": [{"name": name} for name in services],
            "limits": {},
        }
        self.record.add(f"operator writes manifest {version}: {json.dumps(routes)}")
        self.store.put("op/config", json.dumps(manifest).encode())

    def spawn(self, coroutine) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def begin(self, nodes: int = 3) -> None:
        """Start the platform, the executors that were added, and the nodes."""
        await self.store.server.open()
        await self.adviser.server.open()
        self.spawn(self.store.expire())
        for executor in self.executors:
            await executor.start()
        base = os.getpid()
        for number in range(nodes):
            ip = f"127.{50 + base % 150}.{base // 150 % 250}.{number + 1}"
            node = Node(self, f"edge-est-a-{number + 1}", ip, self.folder)
            self.nodes.append(node)
            self.spawn(node.run())
        await self.until_ready()

    async def until_ready(self) -> None:
        for _ in range(300):
            answers = [
                await http_call(n.ip, n.ready, "GET", "/guavapin/ready",
                                headers={"Host": "x"}, timeout=1.0)
                for n in self.nodes
            ]
            has_scheduler = any(k.startswith("duty/") for k in self.store.items)
            if has_scheduler and all(row and row[0] == 200 for row in answers):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the nodes were not ready within 30 s")

    async def request(self, method, path, body=None, tries=5, gap_s=0.3):
        """Send a request to the nodes in turn until one answers it for good."""
        status = None
        for _ in range(tries):
            self._turn += 1
            node = self.nodes[self._turn % len(self.nodes)]
            headers = {"Host": HOST, "X-Deadline-Ms": "3000"}
            answer = await http_call(
                node.ip, node.front, method, path, body, headers, timeout=3.0
            )
            status = answer[0] if answer else None
            self.record.add(f"{method} {path} at {node.name} -> {answer}")
            if answer is not None and status not in (429, 502, 503, 504):
                return answer
            await asyncio.sleep(gap_s)
        return status, {}

    async def submit(self, steps, spec, prefix=PREFIX, **extra) -> str:
        """Hand a job in and return its id; `accepted` holds it if it was accepted."""
        self._next_job += 1
        job_id = f"{os.getpid() & 0xFFFF:04x}{int(time.time()) & 0xFFFF:04x}{self._next_job:08x}"
        body = {"spec": json.dumps(spec), "steps": steps, **extra}
        status, _ = await self.request("POST", prefix + job_id, body)
        if status is not None and 200 <= status < 300:
            self.accepted[job_id] = now_ms()
        return job_id

    async def state(self, job_id, prefix=PREFIX) -> str:
        status, body = await self.request("GET", prefix + job_id)
        return body.get("state", f"status {status}")

    async def until_final(self, job_id, limit_s, prefix=PREFIX) -> str:
        until = now_ms() + limit_s * 1_000
        state = ""
        while now_ms() < until:
            state = await self.state(job_id, prefix)
            if state in ("succeeded", "failed", "cancelled"):
                break
            await asyncio.sleep(0.25)
        return state

    async def end(self) -> None:
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.end()
        for node in self.nodes:
            if node.process is not None:
                await node.process.wait()
        for executor in self.executors:
            if executor.is_up:
                executor._beat_task.cancel()
                executor.server.close()
        self.store.server.close()
        self.adviser.server.close()


def route(name="r", prefix=PREFIX, service="tarifs", attempts=4) -> dict:
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "service": service,
        "priority": 0,
        "attempts": attempts,
        "stretch": 1.6,
        "latency-slo-ms": 600,
        "timeout-ms": 3000,
    }


def noted_ends(events: list[RunEvent]) -> set[tuple]:
    """Return the ends that were taken note of before the executor's lease lapsed."""
    ended: dict[tuple, float] = {}
    lapsed: dict[tuple, float] = {}
    noted = set()
    for e in events:
        life, key = (e.executor, e.born), (e.executor, e.born, e.task, e.attempt)
        if e.kind == "end":
            ended[key] = e.at_ms
        elif e.kind == "lapse":
            lapsed[life] = e.at_ms
        elif e.kind == "noted" and lapsed.get(life, -1) <= ended[key]:
            noted.add(key)
    return noted


def find_twice(events: list[RunEvent]) -> list[str]:
    """Return the breaks of TWICE, for steps that are not speculative.

    Two runs of one subtask at the same time on executors that are up, or a start after
    a run has ended `done` whose end is taken note of, then or later, before the lease
    of that executor lapsed.
    """
    broken = []
    noted = noted_ends(events)
    running: dict[str, dict[tuple, float]] = {}
    done: dict[str, tuple] = {}
    for e in events:
        key = (e.executor, e.born, e.task, e.attempt)
        if e.kind == "start":
            for other, since in running.get(e.task, {}).items():
                broken.append(
                    f"{e.task} starts on {e.executor} (attempt {e.attempt}) at "
                    f"{e.at_ms:.0f} while attempt {other[3]} runs on {other[0]} "
                    f"since {since:.0f}"
                )
            ended = done.get(e.task)
            if ended and ended in noted:
                broken.append(
                    f"{e.task} starts on {e.executor} (attempt {e.attempt}) at "
                    f"{e.at_ms:.0f} after attempt {ended[3]} ended done on {ended[0]}"
                )
            running.setdefault(e.task, {})[key] = e.at_ms
        elif e.kind in ("end", "gone"):
            running.get(e.task, {}).pop(key, None)
            if e.how == "done":
                done[e.task] = key
    return broken


def run_case(folder: Path, case, limit_s: float = 110.0) -> None:
    """Run `case(world, has_trouble)`, which returns the breaks of its rule.

    Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    work = Path(tempfile.mkdtemp(prefix="guavapin-review-"))
    code = 2

    async def main() -> list[str]:
        world = World(work)
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                return await case(world, has_trouble)
        finally:
            await world.end()
            for node in world.nodes:
                if not node.log.exists():
                    continue
                for line in node.log.read_text(errors="replace").splitlines():
                    if any(w in line for w in ("Traceback", "Error", "broken inv")):
                        world.record.add(f"log of {node.name}: {line[:400]}")
            world.record.write(folder / "record.txt")

    try:
        broken = asyncio.run(main())
        for line in broken[:20]:
            print(line)
        print(f"{len(broken)} breaks" if broken else "the rule held")
        with (folder / "record.txt").open("a") as record:
            record.write("\n".join(["verdict:", *broken[:50], f"{len(broken)} breaks"]))
            record.write("\n")
        code = 1 if broken else 0
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
    finally:
        # LOGS names a folder for the logs of the nodes.
        if os.environ.get("LOGS"):
            shutil.copytree(work, os.environ["LOGS"], dirs_exist_ok=True)
        shutil.rmtree(work, ignore_errors=True)
    sys.exit(code)
