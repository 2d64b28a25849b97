"""The task `seat`: acquires the entry seat at the platform and releases it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from guavapin.kernel import Call
from guavapin.kernel import Ok
from guavapin.kernel import Refused
from guavapin.keyvalue.messages import NO_REVISION
from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import Missing
from guavapin.keyvalue.messages import Put
from guavapin.keyvalue.messages import Reply
from guavapin.keyvalue.messages import Written
from guavapin.serving.exchange_messages import EndHoldOff
from guavapin.serving.seat_record import acquire_seat
from guavapin.serving.seat_record import decode_seat
from guavapin.serving.seat_record import encode_seat
from guavapin.serving.seat_record import seat_key

if TYPE_CHECKING:
    from concurrent.futures import Future

    from guavapin.kernel import Outcome
    from guavapin.kernel import TaskContext
    from guavapin.keyvalue.messages import PlatformOutcome
    from guavapin.serving.seat_record import SeatRecord

RETRY_MS = 1_000


@dataclass(frozen=True, slots=True)
class ReleaseSeat:
    """Record that all slots of the seat are released; sent as a `Call`.

    The reply is `Ok`, sent once the release is recorded or cannot be recorded.
    """


@dataclass(frozen=True, slots=True)
class SeatConfig:
    """Name and seat of this process; `incarnation` differs for every process."""

    name: str
    zone: str
    seat: int
    incarnation: int


class _Step(Enum):
    READING = "reading"
    TAKING = "taking"
    HELD = "held"
    RELEASING = "releasing"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class _Retry:
    """Timer: read the record of the seat again."""


class SeatTask:
    """Service `seat`; ends the hold-off of `exchanges` if the seat was free.

    Without the platform, the hold-off lasts its full time. The task does not write to
    a record that another process has acquired.
    """

    name = "seat"

    def __init__(self, cfg: SeatConfig) -> None:
        self._cfg = cfg
        self._key = seat_key(cfg.zone, cfg.seat)
        self._step = _Step.READING
        self._record: SeatRecord | None = None
        self._revision = NO_REVISION
        self._request_id = 0
        self._release_futs: list[Future[Any]] = []

    def start(self, context: TaskContext) -> Outcome[None]:
        """Send the read of the seat's record."""
        self._context = context
        self._read()
        return Ok(None)

    def handle(self, message: object) -> None:
        """Handle a reply of the platform, the timer or the release of the seat."""
        match message:
            case Reply(request_id, outcome):
                if request_id == self._request_id:
                    self._on_reply(outcome)
            case _Retry():
                self._read()
            case Call(ReleaseSeat(), fut):
                self._release_futs.append(fut)
                self._release()

    def stop(self) -> None:
        """Reply to releases that the platform did not confirm."""
        self._finish()

    def _read(self) -> None:
        self._request_id += 1
        self._context.send("platform", Get(self.name, self._request_id, self._key))

    def _write(self, record: SeatRecord) -> None:
        self._request_id += 1
        self._record = record
        put = Put(
            self.name, self._request_id, self._key, encode_seat(record), self._revision
        )
        self._context.send("platform", put)

    def _on_reply(self, outcome: PlatformOutcome) -> None:
        match self._step, outcome:
            case _Step.READING, Missing():
                self._acquire(None, NO_REVISION)
            case _Step.READING, Found(value, revision):
                decoded = decode_seat(value)
                record = None if isinstance(decoded, Refused) else decoded.value
                self._on_record(record, revision)
            case _Step.TAKING, Written(revision):
                self._on_acquired(revision)
            case _Step.RELEASING, _:
                self._finish()
            case _:
                # Covers a write without an answer: reading the record shows whether it
                # was applied.
                self._step = _Step.READING
                self._context.set_timer(RETRY_MS, _Retry())

    def _on_record(self, record: SeatRecord | None, revision: int) -> None:
        is_own = record is not None and record.incarnation == self._cfg.incarnation
        if record is not None and is_own:
            self._record = record
            self._on_acquired(revision)
            return
        # A malformed record does not show a release, so the seat counts as in use.
        predecessor = record or acquire_seat(None, "", 0)
        self._acquire(predecessor, revision)

    def _acquire(self, predecessor: SeatRecord | None, revision: int) -> None:
        self._step = _Step.TAKING
        self._revision = revision
        self._write(acquire_seat(predecessor, self._cfg.name, self._cfg.incarnation))

    def _on_acquired(self, revision: int) -> None:
        self._step = _Step.HELD
        self._revision = revision
        if self._record is not None and self._record.is_clean:
            self._context.send("exchanges", EndHoldOff())

    def _release(self) -> None:
        if self._step is not _Step.HELD or self._record is None:
            self._finish()
            return
        self._step = _Step.RELEASING
        self._write(replace(self._record, is_released=True))

    def _finish(self) -> None:
        self._step = _Step.ENDED
        for fut in self._release_futs:
            fut.set_result(Ok(None))
        self._release_futs.clear()
