"""The log line of a process that ends by itself."""

from __future__ import annotations

import subprocess
import sys

from guavapin.daemons.lifecycle import MAX_LOGGED_FRAMES
from guavapin.daemons.lifecycle import describe_frames


def raise_after(calls: int) -> None:
    if calls == 0:
        raise ValueError("no such value")
    raise_after(calls - 1)


def failure_after(calls: int) -> BaseException:
    try:
        raise_after(calls)
    except ValueError as exc:
        return exc
    raise AssertionError


def test_the_frames_of_a_failure_end_at_the_failed_call() -> None:
    # Guards against a process whose log does not tell at which call it ended.
    frames = describe_frames(failure_after(1))
    assert len(frames) == 3
    assert frames[0].startswith("daemons/test_lifecycle.py:")
    assert frames[0].endswith(" failure_after")
    assert frames[-1].endswith(" raise_after")


def test_the_innermost_frames_of_a_deep_failure_are_kept() -> None:
    # Guards against log lines of any length.
    frames = describe_frames(failure_after(100))
    assert len(frames) == MAX_LOGGED_FRAMES
    assert all(frame.endswith(" raise_after") for frame in frames)


def test_a_resident_imports_its_services_after_it_handles_signals() -> None:
    # Guards against an import that is moved before the signals are handled.
    code = (
        "import sys, guavapin.daemons.resident;"
        "sys.exit('guavapin.kernel' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0
