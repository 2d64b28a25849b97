"""Prints the tests that fail because of a fault listed in KNOWN-RED.txt."""

from __future__ import annotations


def pytest_terminal_summary(terminalreporter):
    known = terminalreporter.stats.get("xfailed", [])
    if known:
        terminalreporter.section("known red, see KNOWN-RED.txt")
    for report in known:
        terminalreporter.line(f"{report.nodeid}: {report.wasxfail}")
