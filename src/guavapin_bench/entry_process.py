"""Entry process of the benchmarks: the serving path in front of one upstream.

Run as ``python -m guavapin_bench.entry_process``; it prints its port on one line and
runs until SIGTERM. `--kind` selects the product's path, its adapters with a
pass-through between them, or a front alone whose requests a stub answers at once.
"""

from __future__ import annotations

import argparse
import cProfile
import pstats
import signal
import threading
from typing import TYPE_CHECKING

from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import SystemClock
from guavapin.objects.model import Pool
from guavapin.objects.model import Service
from guavapin.serving.exchange_settings import ExchangeSettings
from guavapin.serving.exchanges import ExchangesTask
from guavapin.serving.front import FrontTask
from guavapin.serving.front_config import FrontConfig
from guavapin.serving.messages import AnswerBody
from guavapin.serving.messages import AnswerEnd
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import RequestReceived
from guavapin.serving.route_table import RouteTable
from guavapin.serving.route_table import RouteTableChanged
from guavapin.serving.route_table import Upstream
from guavapin.serving.upstreams import UpstreamsTask
from guavapin.serving.upstreams_config import UpstreamsConfig
from guavapin_bench.pass_through import PassThrough
from guavapin_bench.threaded_front import STUB_BODY
from guavapin_bench.threaded_front import ThreadedFront

if TYPE_CHECKING:
    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext

SLOTS = 4_096


class StubExchanges:
    """Service `exchanges` that answers every request at once."""

    name = "exchanges"

    def start(self, context: TaskContext) -> Outcome[None]:
        """Store the context that answers are sent by."""
        self._context = context
        return Ok(None)

    def handle(self, message: object) -> None:
        """Answer a request with status 200 and `STUB_BODY`."""
        if isinstance(message, RequestReceived):
            request_id = message.request_id
            identity = next(
                (v for k, v in message.headers if k == b"guavapin-request-id"), b""
            )
            headers = ((b"guavapin-request-id", identity),)
            head = AnswerHead(request_id, 200, headers, len(STUB_BODY))
            self._context.send("front", head)
            self._context.send("front", AnswerBody(request_id, STUB_BODY))
            self._context.send("front", AnswerEnd(request_id))

    def stop(self) -> None:
        """Do nothing: the service owns no resources."""


def single_route_table(address: str) -> RouteTable:
    """Return a route table that sends all requests to the upstream at `address`."""
    service = Service("bench", "bench", host_names=("bench",), queue_limit=SLOTS)
    upstream = Upstream("upstream", address, "zone", "rack", "bench")
    return RouteTable(
        generation=1,
        services_by_host={"bench": service},
        pools={"bench": Pool("bench", "bench", slots=SLOTS)},
        upstreams={"bench": (upstream,)},
        seats={"zone": 1},
    )


def build_kernel(kind: str, upstream: str) -> tuple[Kernel, FrontTask | ThreadedFront]:
    """Return a kernel with the serving path of `kind`, and its front."""
    kernel = Kernel(SystemClock())
    front: FrontTask | ThreadedFront = FrontTask(FrontConfig(max_connections=SLOTS))
    if kind == "threads":
        front = ThreadedFront()
        kernel.register(front)
        return kernel, front
    if kind == "stub":
        kernel.register(StubExchanges(), loop="serving")
    else:
        if kind == "adapters":
            kernel.register(PassThrough(upstream), loop="serving")
        else:
            settings = ExchangeSettings("zone", is_first_start=True)
            kernel.register(ExchangesTask(settings), loop="serving")
        cfg = UpstreamsConfig(host_connections=SLOTS, max_connections=SLOTS)
        kernel.register(UpstreamsTask(cfg), loop="serving")
    kernel.register(front, loop="serving", requires=("exchanges",))
    return kernel, front


def profile_loops(path: str) -> cProfile.Profile:
    """Return a profile of the loop thread that starts first."""
    profile = cProfile.Profile()

    def begin(frame: object, event: str, arg: object) -> None:
        threading.setprofile(None)
        profile.enable()

    threading.setprofile(begin)
    return profile


def main(args: list[str] | None = None) -> int:
    """Run until SIGTERM or SIGINT; write the profile if one was asked for."""
    parser = argparse.ArgumentParser(prog="python -m guavapin_bench.entry_process")
    parser.add_argument("--upstream", default="")
    parser.add_argument(
        "--kind", choices=("product", "adapters", "stub", "threads"), default="product"
    )
    parser.add_argument("--profile", default="")
    options = parser.parse_args(args)
    done = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: done.set())
    signal.signal(signal.SIGINT, lambda *_: done.set())
    profile = profile_loops(options.profile) if options.profile else None
    kernel, front = build_kernel(options.kind, options.upstream)
    outcome = kernel.start()
    if not isinstance(outcome, Ok):
        print(outcome)
        return 1
    if options.kind == "product":
        kernel.deliver(
            "exchanges", RouteTableChanged(single_route_table(options.upstream))
        )
    print(front.port, flush=True)
    done.wait()
    kernel.stop()
    if profile is not None:
        profile.disable()
        with open(options.profile, "w", encoding="utf-8") as file:
            stats = pstats.Stats(profile, stream=file)
            stats.strip_dirs().sort_stats("tottime").print_stats(45)
            stats.sort_stats("cumtime").print_stats(45)
    failure = kernel.wait_for_failure(0)
    if failure is not None:
        raise failure
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
