"""The `in_force` task: waits until every live process has adopted a generation."""

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
    """Asked as a `Call`; the reply is `InForce`, after `wait_ms` at most."""

    generation: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class InForce:
    """`lagging` names the live processes that have not adopted the generation."""

    generation: int
    lagging: tuple[str, ...]
    waited_ms: int


@dataclass(frozen=True, slots=True)
class _PendingWait:
    generation: int
    since_ms: int
    fut: Future[Any]


@dataclass(frozen=True, slots=True)
class _WaitTimeout:
    """Timer: the wait of this id has reached its limit."""

    wait_id: int


class InForceTask:
    """Service `in_force`; peers report their generation in their heartbeats.

    An unreachable peer is not waited for, since it is not a live member. It adopts the
    generation once it can be reached again.
    """

    name = "in_force"

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._own_generation = 0
        self._members: tuple[Member, ...] = ()
        self._pending: dict[int, _PendingWait] = {}
        self._next_wait_id = 0

    def start(self, context: TaskContext) -> Outcome[None]:
        """Subscribe to the configuration of this process and to the membership."""
        self._context = context
        context.send("configuration", SubscribeConfiguration(self.name))
        context.send("peers", SubscribeMembership(self.name))
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a request, an adoption, a change of the membership or a timer."""
        match message:
            case Call(AwaitInForce() as request, fut):
                self._start_wait(request, fut)
            case ConfigurationAdopted(generation):
                self._own_generation = generation
                self._resolve_finished()
            case MembershipChanged(members):
                self._members = members
                self._resolve_finished()
            case _WaitTimeout(wait_id):
                pending = self._pending.pop(wait_id, None)
                if pending is not None:
                    self._answer(pending)

    def stop(self) -> None:
        """Answer all pending waits with the current state."""
        for pending in self._pending.values():
            self._answer(pending)
        self._pending.clear()

    def _start_wait(self, request: AwaitInForce, fut: Future[Any]) -> None:
        pending = _PendingWait(request.generation, self._context.now_ms(), fut)
        if request.wait_ms <= 0 or not self._lagging(request.generation):
            self._answer(pending)
            return
        self._next_wait_id += 1
        self._pending[self._next_wait_id] = pending
        self._context.set_timer(request.wait_ms, _WaitTimeout(self._next_wait_id))

    def _resolve_finished(self) -> None:
        for wait_id, pending in list(self._pending.items()):
            if not self._lagging(pending.generation):
                del self._pending[wait_id]
                self._answer(pending)

    def _answer(self, pending: _PendingWait) -> None:
        waited_ms = self._context.now_ms() - pending.since_ms
        lagging = self._lagging(pending.generation)
        pending.fut.set_result(InForce(pending.generation, lagging, waited_ms))

    def _lagging(self, generation: int) -> tuple[str, ...]:
        own = () if self._own_generation >= generation else (self._own_name,)
        peers = tuple(
            member.name
            for member in self._members
            if member.status is MemberStatus.ALIVE and member.generation < generation
        )
        return own + peers
