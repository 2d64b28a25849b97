"""The signals of a daemon, from its start to its end."""

from __future__ import annotations

import selectors
import signal
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavapin.kernel import Clock

# Reports a failed loop; no signal has the number 0.
FAILURE_BYTE = 0
STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))
HANDLED_SIGNALS = STOP_SIGNALS | {signal.SIGHUP}


def hold_signals() -> None:
    """Keep signals pending until a `SignalReceiver` releases them.

    Must be called before other threads start, since they inherit the mask.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


class SignalReceiver:
    """Receives the signals of the process on its main thread.

    Handlers only record: they run between any two instructions of the main thread,
    which may hold a lock of the log or of the metrics.
    """

    def __init__(self, clock: Clock) -> None:
        # Time of the first signal to stop, below 0 if there was none.
        self.stop_ms = -1
        self._clock = clock
        self._receiver, self._sender = socket.socketpair()
        self._receiver.setblocking(False)
        self._sender.setblocking(False)
        signal.set_wakeup_fd(self._sender.fileno(), warn_on_full_buffer=False)
        for number in STOP_SIGNALS:
            signal.signal(number, self._record_stop)
        signal.signal(signal.SIGHUP, _ignore_signal)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)

    def report_failure(self) -> None:
        """Report a failed loop; may be called from any thread."""
        self._sender.send(bytes([FAILURE_BYTE]))

    def wait(self) -> bytes:
        """Block until signals arrive or a loop fails; return their numbers."""
        with selectors.DefaultSelector() as selector:
            selector.register(self._receiver, selectors.EVENT_READ)
            selector.select()
        return self._receiver.recv(64)

    def close(self) -> None:
        """Ignore further signals, until the process has ended.

        The interpreter restores the default action of a signal at its end if the signal
        has a handler then, but not if it is ignored.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        signal.set_wakeup_fd(-1)
        self._receiver.close()
        self._sender.close()

    def _record_stop(self, number: int, frame: object) -> None:
        if self.stop_ms < 0:
            self.stop_ms = self._clock.now_ms()


def _ignore_signal(number: int, frame: object) -> None:
    """Do nothing: the wake-up descriptor reports the signal."""
