"""What the callers of the demo record of a request."""

from __future__ import annotations

import re
import time

from guavapin.kernel import Kernel
from guavapin.kernel import SystemClock
from guavapin_demo.callers import CallersTask
from guavapin_demo.callers import Result
from guavapin_demo.callers import RunLoad
from guavapin_demo.callers import SetEntries
from guavapin_demo.demand import PlannedRequest
from guavapin_standins.ports import free_ports


class HeldUp:
    """Target of the first request, which takes a while to be formatted."""

    def __format__(self, spec: str) -> str:
        time.sleep(0.3)
        return "held"


def test_a_lost_request_says_how_late_it_was_sent():
    # Guards against a lost answer of a scenario that cannot be told from one of callers
    # that were held up themselves.
    kernel = Kernel(SystemClock())
    kernel.register(CallersTask())
    kernel.start()
    (port,) = free_ports(1)
    kernel.deliver("callers", SetEntries((f"127.0.0.1:{port}",)))
    requests = (
        PlannedRequest(0, "r0", HeldUp(), "GET", 0),
        PlannedRequest(50, "r1", "s", "POST", 0),
    )
    records = kernel.ask("callers", RunLoad(requests)).result(10)
    kernel.stop()
    assert {record.result for record in records} == {Result.LOST}
    late_ms = {
        record.request.identity: int(re.search(r"sent (\d+) ms late", record.detail)[1])
        for record in records
    }
    assert late_ms["r1"] >= 200
