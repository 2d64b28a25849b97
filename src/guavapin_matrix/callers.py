"""Simulated callers that record their answers and repeat keyed requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.serving.messages import AnswerBody
from guavapin.serving.messages import AnswerBroken
from guavapin.serving.messages import AnswerEnd
from guavapin.serving.messages import AnswerHead
from guavapin.serving.messages import RequestReceived
from guavapin_matrix.upstreams import KEY_HEADER
from guavapin_matrix.upstreams import TAG_HEADER

if TYPE_CHECKING:
    from guavapin_matrix.simulation import Node
    from guavapin_matrix.simulation import SimulatedLoop

TIMEOUT_MS = 3_000
REPEAT_DELAY_MS = 200
MAX_REPEATS = 3


class CallerRequest:
    """One request of a caller and the parts of its answer, in order of arrival.

    `ends` holds every end that was reported; a correct answer has exactly one.
    `faults` describes messages that arrived out of order.
    """

    def __init__(
        self,
        tag: str,
        node: Node,
        method: str,
        key: str,
        sent_ms: int,
        repeats: int = 0,
        body: bytes = b"",
        ended_ms: int = 0,
        is_gone: bool = False,
    ) -> None:
        self.tag = tag
        self.node = node
        self.method = method
        self.key = key
        self.sent_ms = sent_ms
        self.repeats = repeats
        self.heads: list[AnswerHead] = []
        self.body = body
        self.ends: list[str] = []
        self.faults: list[str] = []
        self.ended_ms = ended_ms
        self.is_gone = is_gone

    @property
    def is_whole(self) -> bool:
        """Return whether the answer ended once, as complete."""
        return self.ends == ["end"]

    @property
    def status(self) -> int:
        """Return the HTTP status of the answer, 0 if there is none."""
        return self.heads[0].status if self.heads else 0

    @property
    def outcome(self) -> str:
        """Return ``not-run`` or ``unknown`` for a refusal, else an empty string."""
        headers = dict(self.heads[0].headers) if self.heads else {}
        return headers.get(b"guavapin-outcome", b"").decode()


class Callers:
    """All callers; they get the messages to the service `front` of each entry."""

    def __init__(self, loop: SimulatedLoop, nodes: list[Node]) -> None:
        self.requests: list[CallerRequest] = []
        self._loop = loop
        self._nodes = nodes

    def ask(
        self, node: Node, tag: str, method: str = "GET", key: str = "", repeats: int = 0
    ) -> int:
        """Send a request to an entry process; return the request's id."""
        request = CallerRequest(tag, node, method, key, self._loop.now_ms(), repeats)
        self.requests.append(request)
        request_id = len(self.requests)
        headers = [(TAG_HEADER, tag.encode())]
        if key:
            headers.append((KEY_HEADER, key.encode()))
        received = RequestReceived(
            request_id, method, "/s/x", tuple(headers), self._loop.now_ms(), False
        )
        if not node.is_alive:
            request.ends.append("refused")
            self._repeat(request)
        else:
            node.deliver("exchanges", received)
        return request_id

    def on_message(self, message: object) -> None:
        """Record a message that `exchanges` sent to `front`."""
        match message:
            case AnswerHead(request_id):
                request = self.requests[request_id - 1]
                if request.heads or request.ends:
                    request.faults.append("a second head")
                request.heads.append(message)
            case AnswerBody(request_id, data):
                request = self.requests[request_id - 1]
                if not request.heads or request.ends:
                    request.faults.append("a body out of place")
                request.body += data
            case AnswerEnd(request_id):
                self._on_end(self.requests[request_id - 1], "end")
            case AnswerBroken(request_id):
                self._on_end(self.requests[request_id - 1], "broken")

    def on_process_crashed(self, node: Node) -> None:
        """End the open requests of a process whose connections broke."""
        for request in list(self.requests):
            if request.node is node and not request.ends and not request.is_gone:
                self._on_end(request, "lost")

    def _on_end(self, request: CallerRequest, end: str) -> None:
        request.ends.append(end)
        request.ended_ms = self._loop.now_ms()
        if request.status != 200 or end != "end":
            self._repeat(request)

    def _repeat(self, request: CallerRequest) -> None:
        """Repeat a failed request with the same key, at another entry if possible.

        Safe repetition is what an idempotency key is for.
        """
        if not request.key or request.is_gone or request.repeats >= MAX_REPEATS:
            return
        others = [n for n in self._nodes if n is not request.node and n.is_alive]
        node = others[0] if others else request.node
        tag, repeats = f"{request.tag}'", request.repeats + 1
        self._loop.after(
            REPEAT_DELAY_MS,
            lambda: self.ask(node, tag, request.method, request.key, repeats),
        )
