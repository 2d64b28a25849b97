"""Hostile clients on real processes: they live, within their memory and descriptors.

Only what does not depend on the speed of the machine is checked. The crowd and the
bounds are those at which the fault showed before it was mended.
"""

from __future__ import annotations

import pytest

from tests.hostile.client_site import ENTRY_MEMORY_MB
from tests.hostile.client_site import MAX_FDS
from tests.hostile.client_site import MEMORY_MB
from tests.hostile.client_site import ClientSite
from tests.hostile.client_site import LimitedEntry
from tests.hostile.client_site import await_answer
from tests.hostile.crowd import Crowd
from tests.hostile.crowd import Input
from tests.hostile.crowd import Peak

CROWD = 160
HEAD = b"POST /q/0000000000000001 HTTP/1.1\r\nHost: jobs.example\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BODY_BYTES = 262_144
GET = b"GET /q/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n"

# Input of one client. Without an end means 300 KB, more than any limit of a request.
KINDS = {
    # 16,384 bytes of head in all, and a body that never comes.
    "short_lines": Input(
        HEAD + b"Content-Length: 9\r\n", b"a:\r\n", 4_070, last=b"\r\n"
    ),
    "unusual_lines": Input(
        HEAD + b"Content-Length: 9\r\n", b"x-\xe9`|~!: \t\xff\r\n", 1_080, last=b"\r\n"
    ),
    "heads_over_the_limit": Input(HEAD, b"ab:c\r\n", 5_400, last=b"\r\n"),
    "heads_without_end": Input(HEAD, b"a:\r\n", 75_000),
    "line_without_end": Input(HEAD + b"x: ", b"y" * 1_000, 300),
    "empty_lines_without_end": Input(b"", b"\r\n", 150_000),
    "large_chunks": Input(
        CHUNKED, b"%x\r\n%b\r\n" % (26_000, b"x" * 26_000), 10, last=b"0\r\n"
    ),
    "small_chunks": Input(CHUNKED, b"1\r\nx\r\n", BODY_BYTES // 2, last=b"0\r\n"),
    "length_without_last_byte": Input(
        HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES, b"x", BODY_BYTES - 1
    ),
    "chunk_extensions_without_end": Input(CHUNKED + b"1;", b"a=b;", 75_000),
    "trailers_without_end": Input(CHUNKED + b"1\r\nx\r\n0\r\n", b"a:\r\n", 75_000),
    "pipelined": Input(b"", GET, 6_000),
    "silent": Input(),
    "answers_never_read": Input(b"", b"GET /nowhere/" + GET[6:], 6_000),
}


@pytest.fixture(scope="module")
def site():
    site = ClientSite()
    yield site
    site.stop()


@pytest.fixture
def resident(site, tmp_path):
    resident = site.start(tmp_path)
    yield resident
    resident.end()


def press(port: int, pid: int, sent: Input, record) -> Peak:
    crowd = Crowd(port, CROWD, sent)
    try:
        peak = crowd.press(pid)
    finally:
        crowd.close()
    record("peak_memory_kb", peak.memory_kb)
    record("peak_descriptors", peak.descriptors)
    print(f"crowd {CROWD}: {peak}")
    return peak


def assert_within_limits(resident, peak: Peak) -> None:
    # The process has not restarted: it is the one that was started, and still runs.
    assert resident.is_running
    assert await_answer(resident.ports.front, "/q/")
    assert resident.is_running
    assert peak.memory_kb <= MEMORY_MB * 1_024
    assert peak.descriptors <= MAX_FDS


@pytest.mark.parametrize("kind", KINDS)
def test_entry_host_stays_within_its_limits(resident, kind, record_property):
    # Guards against a process that runs out of memory or descriptors by its callers.
    sent = KINDS[kind]
    peak = press(resident.ports.front, resident.pid, sent, record_property)
    assert_within_limits(resident, peak)


@pytest.mark.parametrize("listener", ["peer", "ready", "metrics"])
def test_other_listeners_stay_within_the_limits(resident, listener, record_property):
    # Guards against the same input at a listener for peers, probes or metrics.
    port = getattr(resident.ports, listener)
    peak = press(port, resident.pid, KINDS["short_lines"], record_property)
    assert_within_limits(resident, peak)


@pytest.mark.parametrize("kind", ["heads_without_end", "length_without_last_byte"])
def test_entry_of_the_own_interface_stays_within_its_limits(
    tmp_path, kind, record_property
):
    # Guards against the same input at guavapin-entry, which forwards its headers.
    entry = LimitedEntry(tmp_path)
    try:
        peak = press(entry.callers, entry.pid, KINDS[kind], record_property)
        assert entry.process.poll() is None
        assert await_answer(entry.callers, "/healthz")
        assert peak.memory_kb <= ENTRY_MEMORY_MB * 1_024
    finally:
        entry.end()
