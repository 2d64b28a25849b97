"""Releases the duty of a term that has ended, once its runs are handed over."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.keyvalue import messages as kv
from guavapin.scheduling.handover import HANDOVER_KEY
from guavapin.scheduling.handover_codec import encode_handover

if TYPE_CHECKING:
    from guavapin.duties.messages import ReleaseDuty
    from guavapin.duties.messages import RetireFromDuty
    from guavapin.kernel.task import TaskContext
    from guavapin.scheduling.handover import HandedHost

# Time for which the release waits for the record of the runs to be stored. A healthy
# store takes 4 ms.
MAX_HANDOVER_MS = 100


@dataclass(frozen=True, slots=True)
class ReleaseTimeout:
    """Timer: release the duty of this request, whether or not the runs are stored."""

    request_id: int


class DutyRelease:
    """Stores the runs of a term under its fence, and then releases the duty.

    The replies and timers of `service` are passed on to it. The write expects the key
    of the duty, so it has no effect once another process holds the duty.
    """

    def __init__(
        self, context: TaskContext, service: str, duty_service: str, key: str
    ) -> None:
        self._context = context
        self._service = service
        self._duty_service = duty_service
        self._key = key
        self._message: ReleaseDuty | RetireFromDuty | None = None
        self._request_id = 0

    @property
    def is_pending(self) -> bool:
        """Whether the duty is about to be released."""
        return self._message is not None

    def begin(
        self,
        message: ReleaseDuty | RetireFromDuty,
        request_id: int,
        token: int,
        handed_hosts: tuple[HandedHost, ...] | None,
    ) -> None:
        """Release the duty with a message, at once if there are no runs to store."""
        self._message, self._request_id = message, request_id
        if handed_hosts is None:
            self._release()
            return
        fence = kv.KeyRevision(self._key, token)
        record = kv.KeyValue(HANDOVER_KEY, encode_handover(handed_hosts))
        request = kv.Transact(self._service, request_id, (fence,), (record,))
        self._context.send("platform", request)
        self._context.set_timer(MAX_HANDOVER_MS, ReleaseTimeout(request_id))

    def finish(self, request_id: int) -> bool:
        """Release the duty; return False if the request is not that of the record."""
        if request_id != self._request_id:
            return False
        self._release()
        return True

    def _release(self) -> None:
        if self._message is not None:
            self._context.send(self._duty_service, self._message)
            self._message = None
