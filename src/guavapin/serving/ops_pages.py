"""Pages for operators' tools, such as the metrics of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.serving.request_handler import RequestHandler

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from guavapin.kernel.task import TaskContext
    from guavapin.serving.request_handler import WholeRequest

TEXT = ((b"content-type", b"text/plain; version=0.0.4; charset=utf-8"),)


class OpsPagesTask(RequestHandler):
    """Service `name` behind the listener `front`; serves `pages` by their path."""

    def __init__(
        self, name: str, front: str, pages: Mapping[str, Callable[[], bytes]]
    ) -> None:
        super().__init__(front)
        self.name = name
        self._pages = pages

    def start(self, context: TaskContext) -> Outcome[None]:
        """Store the context; requests arrive as messages."""
        self._context = context
        return Ok(None)

    def stop(self) -> None:
        """Do nothing; this task has no sockets."""

    def handle(self, message: object) -> None:
        """Handle a message of the front; raises InvariantError on any other."""
        if not self.handle_front_message(message):
            raise InvariantError(f"{self.name}: unexpected message {message!r}")

    def handle_request(self, req: WholeRequest) -> None:
        """Answer with the page at the target, or with 404."""
        page = self._pages.get(req.target.partition("?")[0])
        if page is None or req.method != "GET":
            self.answer(req.request_id, 404)
        else:
            self.answer(req.request_id, 200, TEXT, page())
