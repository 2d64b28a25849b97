"""Load generator: a fixed number of connections, each with one request at a time.

Run as ``python -m guavapin_bench.load_generator``; prints one line of JSON.
"""

from __future__ import annotations

import argparse
import json
import random
import selectors
import socket
import time
from dataclasses import dataclass

# Sizes of answers in bytes, like those of a price, a route sheet and an order.
ANSWER_BYTES = (300, 300, 1_200, 1_200, 4_000, 16_000)
HEAD_END = b"\r\n\r\n"


class Client:
    """One connection with its request in progress."""

    def __init__(
        self,
        sock: socket.socket,
        expected: bytes = b"",
        started_ns: int = 0,
        size: int = -1,
    ) -> None:
        self.sock = sock
        self.expected = expected
        self.started_ns = started_ns
        self.data: bytearray = bytearray()
        self.size = size


@dataclass(frozen=True, slots=True)
class Plan:
    """Load to send; a share `post_share` of the requests is not idempotent."""

    port: int
    connections: int
    requests: int
    seed: int
    post_share: float = 0.0
    run_ms: int = 0


class LoadGenerator:
    """Sends the requests of a plan, times each, and checks the identity of answers."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._selector = selectors.DefaultSelector()
        self._remaining = plan.requests
        self._next_id = 0
        self.response_times_ns: list[int] = []
        self.faults = 0

    def run(self) -> float:
        """Send all requests; return the duration in seconds."""
        clients = [self._connect() for _ in range(self._plan.connections)]
        started_ns = time.perf_counter_ns()
        for client in clients:
            self._send(client)
        open_clients = len(clients)
        while open_clients:
            for key, _ in self._selector.select():
                open_clients -= not self._receive(key.data)
        return (time.perf_counter_ns() - started_ns) / 1e9

    def _connect(self) -> Client:
        sock = socket.create_connection(("127.0.0.1", self._plan.port), 10)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = Client(sock)
        self._selector.register(sock, selectors.EVENT_READ, client)
        return client

    def _send(self, client: Client) -> bool:
        if not self._remaining:
            self._selector.unregister(client.sock)
            client.sock.close()
            return False
        self._remaining -= 1
        self._next_id += 1
        plan = self._plan
        method = b"POST" if self._rng.random() < plan.post_share else b"GET"
        client.expected = b"guavapin-request-id: %d\r\n" % self._next_id
        client.data.clear()
        client.size = -1
        request = (
            b"%b /plans/%d HTTP/1.1\r\nHost: bench\r\nGuavapin-Request-Id: %d\r\n"
            b"Guavapin-Answer-Bytes: %d\r\nGuavapin-Run-Ms: %d\r\n%b\r\n"
            % (
                method,
                self._next_id,
                self._next_id,
                self._rng.choice(ANSWER_BYTES),
                plan.run_ms,
                b"Content-Length: 0\r\n" if method == b"POST" else b"",
            )
        )
        client.started_ns = time.perf_counter_ns()
        client.sock.sendall(request)
        return True

    def _receive(self, client: Client) -> bool:
        data = client.sock.recv(65_536)
        if not data:
            raise ConnectionError("connection closed inside an answer")
        client.data += data
        if client.size < 0:
            end = client.data.find(HEAD_END)
            if end < 0:
                return True
            client.size = end + len(HEAD_END) + self._read_head(client, end)
        if len(client.data) < client.size:
            return True
        self.response_times_ns.append(time.perf_counter_ns() - client.started_ns)
        return self._send(client)

    def _read_head(self, client: Client, end: int) -> int:
        head = bytes(client.data[: end + 2])
        if not head.startswith(b"HTTP/1.1 200") or client.expected not in head:
            self.faults += 1
        start = head.lower().index(b"content-length: ") + len(b"content-length: ")
        return int(head[start : head.index(b"\r\n", start)])


def summarise(
    response_times_ns: list[int], seconds: float, faults: int
) -> dict[str, float]:
    """Return requests per second and quantiles of the response time in ms."""
    ordered = sorted(response_times_ns)

    def quantile_ms(share: float) -> float:
        return round(ordered[int(share * (len(ordered) - 1))] / 1e6, 3)

    return {
        "requests": len(ordered),
        "faults": faults,
        "per_second": round(len(ordered) / seconds, 1),
        "p50_ms": quantile_ms(0.50),
        "p99_ms": quantile_ms(0.99),
        "max_ms": quantile_ms(1.0),
    }


def main(args: list[str] | None = None) -> int:
    """Run the plan of the command line; exit code 1 if an answer was wrong."""
    parser = argparse.ArgumentParser(prog="python -m guavapin_bench.load_generator")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--requests", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--post-share", type=float, default=0.0)
    parser.add_argument("--run-ms", type=int, default=0)
    plan = Plan(**vars(parser.parse_args(args)))
    generator = LoadGenerator(plan)
    seconds = generator.run()
    print(json.dumps(summarise(generator.response_times_ns, seconds, generator.faults)))
    return 1 if generator.faults else 0


if __name__ == "__main__":
    raise SystemExit(main())
