"""The soak tells ends of a process by itself from those by the soak's signals."""

from __future__ import annotations

import signal
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

from guavapin_soak.entry_process import EntryProcess
from guavapin_soak.entry_process import entry_ports
from guavapin_soak.entry_process import is_own_end

if TYPE_CHECKING:
    from pathlib import Path


# First ephemeral port of Linux.
SYSTEM_RANGE_BEGIN = 32_768


@pytest.mark.parametrize(
    ("code", "signals"),
    [
        (1, set()),
        (0, set()),
        (1, {signal.SIGTERM}),
        (0, {signal.SIGHUP}),
        (-signal.SIGSEGV, {signal.SIGTERM}),
        (-signal.SIGKILL, {signal.SIGSTOP, signal.SIGCONT}),
    ],
)
def test_an_end_without_a_signal_is_reported(
    code: int, signals: set[signal.Signals]
) -> None:
    # Guards against a process that ends by itself and is started again unnoticed.
    assert is_own_end(code, signals)


@pytest.mark.parametrize(
    ("code", "signals"),
    [
        (None, set()),
        (0, {signal.SIGTERM}),
        (-signal.SIGTERM, {signal.SIGTERM}),
        (-signal.SIGHUP, {signal.SIGHUP}),
        (-signal.SIGKILL, {signal.SIGTERM, signal.SIGKILL}),
    ],
)
def test_an_end_by_a_signal_of_the_soak_is_not_reported(
    code: int | None, signals: set[signal.Signals]
) -> None:
    # Guards against runs that fail by the soak's own faults.
    assert not is_own_end(code, signals)


def test_an_own_end_is_reported_once_after_a_restart(tmp_path: Path) -> None:
    # Guards against an end that is forgotten when a fault starts the process again.
    entry = EntryProcess(tmp_path, "e0", entry_ports(1))
    try:
        entry.end()
        assert entry.own_ends() == []
        entry.restart()
        entry.end()
        entry.process = subprocess.Popen([sys.executable, "-c", "raise SystemExit(3)"])
        entry.process.wait()
        entry.restart()
        assert entry.own_ends() == ["e0: ended by itself with code 3"]
    finally:
        entry.end()
    assert entry.own_ends() == ["e0: ended by itself with code 3"]


def test_no_connection_takes_a_port_while_a_process_is_down() -> None:
    # Guards against starts that fail with "Address already in use": an ephemeral port
    # may be taken by a connection before its process starts or starts again.
    ports = entry_ports(1)
    listeners = (ports.front, ports.ready, ports.peer, ports.metrics)
    assert len({*listeners}) == len(listeners)
    assert max(listeners) < SYSTEM_RANGE_BEGIN
