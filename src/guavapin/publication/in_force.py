"""The task `in_force`: tells when a generation is in force at every live process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.peers.messages import MembershipChanged
from guavapin.peers.messages import MemberStatus
from guavapin.peers.messages import SubscribeMembership
from guavapin.publication.messages import ConfigurationAdopted
from guavapin.publication.messages import SubscribeConfiguration

if TYPE_CHECKING:
    from concurrent.futures import Future

    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin.peers.messages import Member


@dataclass(frozen=True, slots=True)
class AwaitInForce:
    """As a `Call`: wait `wait_ms` at most; the reply is `InForce`."""

    generation: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class InForce:
    """`lagging` names the live processes that have not adopted the generation."""

    generation: int
    lagging: tuple[str, ...]
    waited_ms: int


@dataclass(frozen=True, slots=True)
class _Waiting:
    generation: int
    since_ms: int
    fut: Future[Any]


@dataclass(frozen=True, slots=True)
class _Expired:
    """Timer: the wait with this number ends."""

    number: int


class InForceTask:
    """Service `in_force`; peers report their generation in their heartbeats.

    A peer that cannot be reached is not waited for: it adopts the generation when it
    can be reached again, and until then it is not a live member.
    """

    name = "in_force"

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._own_generation = 0
        self._members: tuple[Member, ...] = ()
        self._waiting: dict[int, _Waiting] = {}
        self._next_number = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Subscribe to the own configuration and to the peers."""
        self._context = context
        context.send("configuration", SubscribeConfiguration(self.name))
        context.send("peers", SubscribeMembership(self.name))
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a question, an adoption or news of peers."""
        match message:
            case Call(AwaitInForce() as question, fut):
                self._wait(question, fut)
            case ConfigurationAdopted(generation):
                self._own_generation = generation
                self._check_all()
            case MembershipChanged(members):
                self._members = members
                self._check_all()
            case _Expired(number):
                waiting = self._waiting.pop(number, None)
                if waiting is not None:
                    self._answer(waiting)

    def stop(self) -> None:
        """Answer those who wait with what is known."""
        for waiting in self._waiting.values():
            self._answer(waiting)
        self._waiting.clear()

    def _wait(self, question: AwaitInForce, fut: Future[Any]) -> None:
        waiting = _Waiting(question.generation, self._context.now_ms(), fut)
        if question.wait_ms <= 0 or not self._lagging(question.generation):
            self._answer(waiting)
            return
        self._next_number += 1
        self._waiting[self._next_number] = waiting
        self._context.set_timer(question.wait_ms, _Expired(self._next_number))

    def _check_all(self) -> None:
        for number, waiting in list(self._waiting.items()):
            if not self._lagging(waiting.generation):
                del self._waiting[number]
                self._answer(waiting)

    def _answer(self, waiting: _Waiting) -> None:
        waited_ms = self._context.now_ms() - waiting.since_ms
        lagging = self._lagging(waiting.generation)
        waiting.fut.set_result(InForce(waiting.generation, lagging, waited_ms))

    def _lagging(self, generation: int) -> tuple[str, ...]:
        own = () if self._own_generation >= generation else (self._own_name,)
        peers = tuple(
            member.name
            for member in self._members
            if member.status is MemberStatus.ALIVE and member.generation < generation
        )
        return own + peers
