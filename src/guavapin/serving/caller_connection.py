"""One connection of a caller: its socket, parser, output buffer and request."""

from __future__ import annotations

import socket
import ssl
import struct
from typing import TYPE_CHECKING

from guavapin.serving.answer_encoder import CONTINUE
from guavapin.serving.answer_encoder import AnswerEncoder
from guavapin.serving.answer_encoder import plain_answer
from guavapin.serving.client_budget import CONNECTION_BYTES
from guavapin.serving.hop_headers import end_to_end
from guavapin.serving.messages import RequestBody
from guavapin.serving.messages import RequestReceived
from guavapin.serving.request_parser import BodyPart
from guavapin.serving.request_parser import ParseFault
from guavapin.serving.request_parser import RequestHead
from guavapin.serving.request_parser import RequestParser

if TYPE_CHECKING:
    from guavapin.serving.connection_owner import ConnectionOwner
    from guavapin.serving.messages import AnswerHead

# What remains behind a complete request is held until its answer has been sent, so that
# one read must be small.
READ_BYTES = 16_384
# Input that is dropped so that the caller receives the answer of a refusal. What
# exceeds it is not read.
MAX_DROPPED_BYTES = 262_144
# Water marks of the output buffer (design, section 6.8).
LOW_WATER_BYTES = 65_536
HIGH_WATER_BYTES = 262_144
# A repeated TLS write must start with the same bytes, so each write is small.
TLS_WRITE_BYTES = 16_384


class CallerConnection:
    """State of one connection, which serves one request at a time.

    The owner must call `sync_connection` after every step. It closes the socket if
    `is_closed` is set.
    """

    def __init__(self, conn_id: int, sock: socket.socket, owner: ConnectionOwner):
        self.conn_id = conn_id
        self.sock = sock
        self.fd = sock.fileno()
        self.request_id = 0
        self.is_closed = False
        self.is_body_paused = False
        self.is_lingering = False
        self.is_handshaking = isinstance(sock, ssl.SSLSocket)
        self.wants_write = False
        self.watched_events = 0
        self.deadline_kind = ""
        self.last_progress_ms = 0
        self.output = bytearray()
        self.parser = RequestParser(owner.parser_limits)
        # Held memory as last counted by the owner.
        self.counted_bytes = 0
        self.has_served = False
        self.request_started_ms = owner.now_ms()
        self.received_bytes = 0
        self._request_held_bytes = 0
        self._droppable_bytes = MAX_DROPPED_BYTES
        self._owner = owner
        self._encoder: AnswerEncoder | None = None
        self._is_request_read = True
        self._is_answer_ended = False
        self._is_head_sent = False
        self._is_answer_paused = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress, partly received, or not fully answered."""
        return bool(
            self._encoder is not None
            or self.output
            or not self.parser.is_between_requests
        )

    @property
    def is_unused(self) -> bool:
        """Whether nothing of a request has arrived since the accept."""
        return not (self.has_served or self.is_busy or self.is_lingering)

    @property
    def is_reading_head(self) -> bool:
        """Whether the head of a request has been received in part."""
        return self._encoder is None and not self.parser.is_between_requests

    @property
    def is_waiting_for_answer(self) -> bool:
        """Whether the request makes no progress until `exchanges` sends a message."""
        return self.request_id != 0 and not self.output and self._is_request_read

    @property
    def is_refusable(self) -> bool:
        """Whether the request is incomplete and nothing of it has run."""
        if self.is_lingering or self._is_head_sent:
            return False
        if self.request_id:
            return self._owner.holds_bodies and not self._is_request_read
        return self.is_reading_head

    @property
    def is_receiving_body(self) -> bool:
        """Whether a part of the request's body has not arrived yet."""
        return self.request_id != 0 and not self._is_request_read

    @property
    def wants_read(self) -> bool:
        """Whether more bytes may be read; pipelined requests stay in the socket."""
        if self.is_lingering:
            return self._droppable_bytes > 0
        if self.is_handshaking:
            return True
        parser = self.parser
        return not (parser.events or parser.has_rest or self.is_body_paused)

    @property
    def held_bytes(self) -> int:
        """Return the memory that this connection takes, unread input included."""
        held = CONNECTION_BYTES + self._request_held_bytes + len(self.output)
        parser = self.parser
        if self.is_body_paused or self.is_lingering or not parser.is_between_requests:
            held += parser.held_bytes
            if not self.wants_read:
                held += self._owner.receive_buffer_bytes
        return held

    def read(self) -> None:
        """Read the available bytes of the socket and process them."""
        while not self.is_closed and self.wants_read:
            try:
                data = self.sock.recv(READ_BYTES)
            except (BlockingIOError, ssl.SSLWantReadError):
                return
            except ssl.SSLWantWriteError:
                self.wants_write = True
                return
            except OSError:
                data = b""
            if not data:
                self.close()
                return
            if self.is_lingering:
                self._droppable_bytes -= len(data)
                return
            if self.is_busy:
                self.received_bytes += len(data)
            else:
                self.request_started_ms = self._owner.now_ms()
                self.received_bytes = len(data)
            self.parser.feed(data)
            self.process_events()
            if not (isinstance(self.sock, ssl.SSLSocket) and self.sock.pending()):
                return

    def handshake(self) -> bool:
        """Continue the TLS handshake; returns False if it has failed."""
        assert isinstance(self.sock, ssl.SSLSocket)
        self.wants_write = False
        try:
            self.sock.do_handshake()
        except ssl.SSLWantReadError:
            pass
        except ssl.SSLWantWriteError:
            self.wants_write = True
        except OSError:
            self.close()
            return False
        else:
            self.is_handshaking = False
            self.read()
        return True

    def process_events(self) -> None:
        """Process parsed events until the request in progress blocks the next one."""
        events = self.parser.events
        while not self.is_closed and not self.is_lingering:
            if not events:
                if self._encoder is not None or not self.parser.has_rest:
                    return
                self.parser.resume()
                if not events:
                    return
            event = events[0]
            if isinstance(event, BodyPart):
                events.popleft()
                self._on_body(event)
            elif self._encoder is not None:
                if isinstance(event, RequestHead) or self._is_request_read:
                    return
                events.popleft()
                self._on_fault(event)
            elif isinstance(event, ParseFault):
                events.popleft()
                self._on_fault(event)
            else:
                events.popleft()
                self._on_head(event)

    def answer_head(self, message: AnswerHead) -> None:
        """Queue the head of the answer."""
        encoder = self._encoder
        if encoder is None or self._is_head_sent:
            return
        if self._owner.is_stopping or not self._is_request_read:
            encoder.closes = True
        self._is_head_sent = True
        self.output += encoder.head(message.status, message.headers, message.length)

    def answer_body(self, data: bytes) -> None:
        """Queue a part of the body, and request a pause above the high water mark."""
        encoder = self._encoder
        if encoder is None:
            return
        encoded = encoder.body(data)
        if encoded is None:
            self.break_answer()
            return
        self.output += encoded
        if len(self.output) > HIGH_WATER_BYTES:
            self._owner.record_output_size(len(self.output))
            if not self._is_answer_paused:
                self._is_answer_paused = True
                self._owner.pause_answer(self.request_id, True)

    def answer_end(self) -> None:
        """Complete the answer; the next request can start once it is written."""
        encoder = self._encoder
        encoded = encoder.end() if encoder is not None and self._is_head_sent else None
        self._release_request()
        if encoded is None:
            self.break_answer()
            return
        self.output += encoded
        self._is_answer_ended = True
        self.flush()

    def break_answer(self, is_ended: bool = False) -> None:
        """Close the connection so that the caller detects the incomplete answer.

        `is_ended` is set if `exchanges` has ended the request already.
        """
        if is_ended:
            self._release_request()
        encoder = self._encoder
        if encoder is not None and encoder.ends_with_connection:
            # A normal close would look like the end of the body, so the connection is
            # reset.
            linger_option = struct.pack("ii", 1, 0)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_option)
            self.output.clear()
        self._send()
        self.close()

    def flush(self) -> None:
        """Write as much output as the socket accepts; end a request that is written."""
        self._send()
        if self.is_closed:
            return
        if self._is_answer_paused and len(self.output) < LOW_WATER_BYTES:
            self._is_answer_paused = False
            if self.request_id:
                self._owner.pause_answer(self.request_id, False)
        if self.output or not self._is_answer_ended:
            return
        self._end_request()

    def close(self) -> None:
        """Mark the connection as closed; `sync_connection` closes the socket."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.request_id:
            self._owner.close_request(self, is_caller_gone=True)
            self.request_id = 0

    def refuse(self, status: int, text: str) -> None:
        """Send an answer of the front itself, then close the connection."""
        if self._is_head_sent:
            self.break_answer()
            return
        if self.request_id:
            self._owner.close_request(self, is_caller_gone=True)
            self.request_id = 0
        self._owner.count_refusal(status)
        self.parser.discard()
        self._request_held_bytes = 0
        encoder = self._encoder or AnswerEncoder("GET", False, True)
        encoder.closes = True
        self._encoder = encoder
        self._is_head_sent = True
        self._is_request_read = False
        self.output += plain_answer(encoder, status, text)
        self._is_answer_ended = True
        self.flush()

    def _release_request(self) -> None:
        if self.request_id:
            self._owner.close_request(self, is_caller_gone=False)
            self.request_id = 0

    def _on_head(self, head: RequestHead) -> None:
        closes = not head.keep_alive or self._owner.asks_to_close
        self._encoder = AnswerEncoder(head.method, head.is_http_10, closes)
        self._is_request_read = not head.body_follows
        self._is_answer_ended = False
        self._is_head_sent = False
        local_answer = self._owner.answer_local(head.target)
        if local_answer is not None:
            self._answer_local(*local_answer)
            return
        if not self._owner.admits(self, head.held_bytes):
            self.refuse(503, "memory is short")
            return
        self._request_held_bytes = head.held_bytes
        self.request_id = self._owner.open_request(self)
        self._owner.forward(
            RequestReceived(
                request_id=self.request_id,
                method=head.method,
                target=head.target,
                headers=end_to_end(head.headers),
                received_ms=self._owner.now_ms(),
                body_follows=head.body_follows,
            )
        )
        if head.expects_continue and head.body_follows:
            self.output += CONTINUE
            self.flush()

    def _answer_local(self, status: int, text: str) -> None:
        encoder = self._encoder
        assert encoder is not None
        if not self._is_request_read:
            encoder.closes = True
        self.output += plain_answer(encoder, status, text)
        self._is_head_sent = True
        self._is_answer_ended = True
        self.flush()

    def _on_body(self, part: BodyPart) -> None:
        if part.is_last:
            self._is_request_read = True
        if self.request_id:
            if self._owner.holds_bodies:
                self._request_held_bytes += len(part.data)
            self._owner.forward(RequestBody(self.request_id, part.data, part.is_last))

    def _on_fault(self, fault: ParseFault) -> None:
        self.refuse(fault.status, fault.detail)

    def _send(self) -> None:
        output = self.output
        while output:
            try:
                if isinstance(self.sock, ssl.SSLSocket):
                    sent = self.sock.send(bytes(output[:TLS_WRITE_BYTES]))
                else:
                    sent = self.sock.send(output)
            except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
                break
            except OSError:
                self.close()
                return
            del output[:sent]
        self.wants_write = bool(output)

    def _end_request(self) -> None:
        encoder, self._encoder = self._encoder, None
        self._is_answer_ended = False
        self._is_head_sent = False
        self.is_body_paused = False
        self._request_held_bytes = 0
        self.has_served = True
        if encoder is not None and not encoder.closes and not self._owner.is_stopping:
            return
        parser = self.parser
        if self._is_request_read and not (parser.events or parser.has_rest):
            self.close()
            return
        # Closing the socket with unread bytes resets the connection, and the caller may
        # lose the answer. Therefore incoming bytes are read and dropped for a while.
        self.is_lingering = True
        parser.discard()
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
