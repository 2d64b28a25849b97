"""Test rig: an `exchanges` task on a harness, with one pool in one zone."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from typing import TypeVar

from guavapin.kernel.harness import TaskHarness
from guavapin.objects.model import AvailabilityZone
from guavapin.objects.model import Host
from guavapin.objects.model import ObjectSet
from guavapin.objects.model import Pool
from guavapin.objects.model import Service
from guavapin.objects.model import TeamQuota
from guavapin.serving.exchange_settings import ExchangeSettings
from guavapin.serving.exchanges import ExchangesTask
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import AttemptBody
from guavapin.serving.messages import AttemptClosed
from guavapin.serving.messages import AttemptEnded
from guavapin.serving.messages import AttemptHead
from guavapin.serving.messages import AttemptResult
from guavapin.serving.messages import CancelAttempt
from guavapin.serving.messages import RequestReceived
from guavapin.serving.messages import StartAttempt
from guavapin.serving.route_table import RouteTableChanged
from guavapin.serving.route_table import build_route_table

M = TypeVar("M")


def make_objects(
    hosts: int = 3,
    slots: int = 2,
    seats: int = 1,
    quotas: tuple[TeamQuota, ...] = (),
    **service: Any,
) -> ObjectSet:
    names = [f"h{index}" for index in range(hosts)]
    return ObjectSet(
        zones={"a": AvailabilityZone("a", "r", seats)},
        hosts={name: Host(name, "a", f"r-{name}", "p", f"{name}:80") for name in names},
        pools={"p": Pool("p", "b", slots=slots, max_ejected_share=0.5)},
        services={"s": Service("s", "p", path_prefix="/s", **service)},
        quotas={quota.name: quota for quota in quotas},
    )


class Rig:
    """Drives the task with messages and collects the messages that it sends."""

    def __init__(self, objects: ObjectSet, **settings: Any) -> None:
        settings = {"zone": "a", "is_first_start": True, **settings}
        self.task = ExchangesTask(ExchangeSettings(**settings))
        self.harness = TaskHarness(self.task)
        self.harness.start()
        self.configure(objects)

    def configure(self, objects: ObjectSet, out: frozenset[str] = frozenset()) -> None:
        pools = {name: host.pool for name, host in objects.hosts.items()}
        table = build_route_table(objects, 1, pools, out)
        self.task.handle(RouteTableChanged(table))

    def request(
        self,
        request_id: int,
        method: str = "GET",
        target: str = "/s/x",
        body_follows: bool = False,
        **headers: str,
    ) -> None:
        lines = tuple(
            (name.replace("_", "-").lower().encode(), value.encode())
            for name, value in headers.items()
        )
        now_ms = self.harness.now_ms()
        self.task.handle(
            RequestReceived(request_id, method, target, lines, now_ms, body_follows)
        )

    def pop_sent(self, kind: type[M]) -> list[M]:
        """Remove and return the sent messages of one type, and keep the others."""
        sent = self.harness.take_sent()
        self.harness.sent = [s for s in sent if not isinstance(s.message, kind)]
        return [s.message for s in sent if isinstance(s.message, kind)]

    def start_one(self) -> StartAttempt:
        (start,) = self.pop_sent(StartAttempt)
        return start

    def answer(
        self,
        attempt_id: int,
        status: int = 200,
        body: bytes = b"ok",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        is_closing: bool = False,
    ) -> None:
        self.task.handle(AttemptHead(attempt_id, status, headers, is_closing))
        self.task.handle(AttemptBody(attempt_id, body))
        self.end(attempt_id, AttemptResult.COMPLETE)
        # The head of an answer that is not used cancels its attempt.
        cancelled = CancelAttempt(attempt_id)
        if any(sent.message == cancelled for sent in self.harness.sent):
            self.task.handle(AttemptClosed(attempt_id))

    def end(self, attempt_id: int, result: AttemptResult) -> None:
        self.task.handle(AttemptEnded(attempt_id, result))

    def refusals(self) -> list[tuple[int, int, str, str]]:
        """Return request id, status, outcome and reason of each refusal sent."""
        found = []
        for head in self.pop_sent(AnswerHead):
            values = dict(head.headers)
            if b"guavapin-outcome" in values:
                outcome = values[b"guavapin-outcome"].decode()
                reason = values[b"guavapin-reason"].decode()
                found.append((head.request_id, head.status, outcome, reason))
        return found


def with_seats(objects: ObjectSet, seats: int) -> ObjectSet:
    zone = replace(objects.zones["a"], seats=seats)
    return replace(objects, zones={"a": zone})
