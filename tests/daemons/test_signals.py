"""A resident keeps running through signals that arrive at awkward moments."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

from guavapin_soak.entry_process import entry_ports
from guavapin_soak.entry_process import settings_text

if TYPE_CHECKING:
    from pathlib import Path

# Far above the grace of a stop, so that only a process that hangs exceeds it.
TIMEOUT_S = 30

# Sends SIGHUP while the main thread counts a log line, and SIGTERM once the SIGHUP has
# been logged.
HANG_UP_IN_A_LOG_LINE = """
import os, signal, sys, threading
from guavapin.metrics import resident
LOCK = threading.Lock()
class LockingMetrics(resident.ResidentMetrics):
    def filter(self, record):
        with LOCK:
            if record.msg == "started":
                os.kill(os.getpid(), signal.SIGHUP)
        if record.msg == "settings changed":
            os.kill(os.getpid(), signal.SIGTERM)
        return super().filter(record)
resident.ResidentMetrics = LockingMetrics
from guavapin.daemons.resident import main
sys.exit(main([]))
"""

# Sends the signal whose number is the first argument when the first module of the
# services is imported, and SIGTERM once the services have started.
SIGNAL_IN_AN_IMPORT = """
import logging, os, runpy, signal, sys
number = int(sys.argv.pop())
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "guavapin.kernel":
            sys.meta_path.remove(self)
            os.kill(os.getpid(), number)
            logging.getLogger("guavapin.daemon").addFilter(stop_at_start)
def stop_at_start(record):
    if record.msg == "started":
        os.kill(os.getpid(), signal.SIGTERM)
    return True
sys.meta_path.insert(0, Finder())
runpy.run_module("guavapin.daemons.resident", run_name="__main__")
"""

# Stops the process once it has started, and sends the signal whose number is the first
# argument when the interpreter removes its modules at the end.
SIGNAL_AT_THE_END = """
import logging, os, signal, sys
class SignalAtTheEnd:
    def __del__(self, kill=os.kill, number=int(sys.argv.pop()), pid=os.getpid()):
        kill(pid, number)
sys.modules["signal_at_the_end"] = SignalAtTheEnd()
def stop_at_start(record):
    if record.msg == "started":
        os.kill(os.getpid(), signal.SIGTERM)
    return True
logging.getLogger("guavapin.daemon").addFilter(stop_at_start)
from guavapin.daemons.resident import main
sys.exit(main([]))
"""


def run_resident(
    folder: Path, code: str, *args: str
) -> subprocess.CompletedProcess[str]:
    """Run `code` with the settings of an entry host whose platform is away."""
    path = folder / "settings"
    path.write_text(settings_text("e0", entry_ports(9)))
    return subprocess.run(
        [sys.executable, "-c", code, *args],
        env={**os.environ, "GUAVAPIN_SETTINGS": str(path)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


def test_a_sighup_while_a_line_is_logged_does_not_block_the_process(
    tmp_path: Path,
) -> None:
    # Guards against a process that waits for a lock that its own main thread holds: the
    # handler of SIGHUP logged, and every loop then waited for the lock of the metrics.
    done = run_resident(tmp_path, HANG_UP_IN_A_LOG_LINE)
    assert done.returncode == 0, done.stderr
    assert '"settings changed"' in done.stdout


@pytest.mark.parametrize(
    ("number", "is_started"), [(signal.SIGTERM, False), (signal.SIGHUP, True)]
)
def test_a_signal_during_the_start_does_not_end_the_process_by_default(
    number: signal.Signals, is_started: bool, tmp_path: Path
) -> None:
    # Guards against processes that ended by SIGHUP or SIGTERM while they imported their
    # modules, before the handlers were installed.
    done = run_resident(tmp_path, SIGNAL_IN_AN_IMPORT, str(int(number)))
    assert done.returncode == 0, done.stderr
    assert ('"started"' in done.stdout) is is_started


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_a_signal_at_the_end_does_not_change_the_exit_code(
    number: signal.Signals, tmp_path: Path
) -> None:
    # Guards against processes that had stopped gracefully and ended by another signal:
    # the interpreter restores the default actions before it removes its modules.
    done = run_resident(tmp_path, SIGNAL_AT_THE_END, str(int(number)))
    assert done.returncode == 0, done.stderr
    assert '"stopped"' in done.stdout


def test_a_stop_during_the_start_does_not_wait_for_the_imports(tmp_path: Path) -> None:
    # Guards against processes that were killed at the end of their grace, because their
    # imports took longer on a busy machine and signals were held back until then.
    code = SIGNAL_IN_AN_IMPORT.replace(
        "os.kill(os.getpid(), number)",
        "os.kill(os.getpid(), number); print('imported', flush=True)",
    )
    done = run_resident(tmp_path, code, str(int(signal.SIGTERM)))
    assert (done.returncode, done.stdout) == (0, "")
