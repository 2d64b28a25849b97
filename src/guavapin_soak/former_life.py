"""The process of an executor whose machine has a next executor."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import subprocess


class FormerLife:
    """The process of an executor that is stopping while its successor is up."""

    def __init__(self, executor_id: str, process: subprocess.Popen[bytes]) -> None:
        self.executor_id = executor_id
        self._process = process

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process has not ended."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process, and wait for its end."""
        self.signal(signal.SIGKILL)
        self._process.wait()
        if self._process.stdin is not None:
            self._process.stdin.close()
