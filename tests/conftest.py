"""Fixtures of all tests."""

from __future__ import annotations

import weakref

import pytest

from guavapin.kernel import Kernel


@pytest.fixture(autouse=True, scope="session")
def stop_leftover_kernels():
    """Stop kernels that a failed test left running.

    Their loops run on an executor, which the interpreter joins at its exit, so a
    running kernel would block the end of the test run.
    """
    kernels: weakref.WeakSet[Kernel] = weakref.WeakSet()
    original = Kernel.start

    def start(self: Kernel):
        kernels.add(self)
        return original(self)

    Kernel.start = start
    yield
    Kernel.start = original
    for kernel in list(kernels):
        kernel.stop()


def pytest_terminal_summary(terminalreporter):
    known = terminalreporter.stats.get("xfailed", [])
    if known:
        terminalreporter.section("known red, see KNOWN-RED.txt")
    for report in known:
        terminalreporter.line(f"{report.nodeid}: {report.wasxfail}")
