"""The signals of a daemon, from its start to its end."""

from __future__ import annotations

import os
import selectors
import signal
import socket

# Reports a failed loop; no signal has the number 0.
FAILURE_BYTE = 0
STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))
HANDLED_SIGNALS = STOP_SIGNALS | {signal.SIGHUP}


def handle_early_signals() -> None:
    """End the process on a signal to stop, and ignore SIGHUP.

    For the time before a `SignalReceiver` takes over: nothing has been started or read
    that a signal could concern.
    """
    for number in STOP_SIGNALS:
        signal.signal(number, _exit_at_once)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


class SignalReceiver:
    """Receives the signals of the process on its main thread.

    Handlers do nothing: they run between any two instructions of the main thread,
    which may hold a lock of the log or of the metrics.
    """

    def __init__(self) -> None:
        self._receiver, self._sender = socket.socketpair()
        self._receiver.setblocking(False)
        self._sender.setblocking(False)
        signal.set_wakeup_fd(self._sender.fileno(), warn_on_full_buffer=False)
        for number in HANDLED_SIGNALS:
            signal.signal(number, _ignore_signal)

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


def _exit_at_once(number: int, frame: object) -> None:
    # An exception could be caught by the import that the signal interrupts.
    os._exit(0)


def _ignore_signal(number: int, frame: object) -> None:
    """Do nothing: the wake-up descriptor reports the signal."""
