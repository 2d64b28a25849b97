"""Settings are validated, and all faults are reported at once."""

from __future__ import annotations

import pytest

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Refused
from guavapin.platform.settings import parse_settings

SETTINGS = """\
node=edge-est-a-1
ip=10.1.0.9
zone=est-a
listen.front=10.1.0.9:8624
listen.ready=10.1.0.9:8622
port-range=7060,7075
platform.address=10.200.1.7:8621
platform.writes-per-s=400
platform.reads-per-s=2000
cloud.address=10.200.0.107:8621
bounds.grace-s=6
bounds.max-hold-ms=6000
bounds.stop-timeout-ms=400
bounds.status_s=120
bounds.migrate-s=1.5
some.new-field=ignored
"""


def test_fields_are_read_in_their_units() -> None:
    # Guards against seconds that are read as milliseconds.
    outcome = parse_settings(SETTINGS)
    assert isinstance(outcome, Ok)
    cfg = outcome.value
    assert cfg.front == ("10.1.0.9", 8624) and cfg.peer == ("10.1.0.9", 7060)
    assert (cfg.times.grace_ms, cfg.times.move_ms) == (6_000, 1_500)
    assert cfg.advice == ""


def test_all_faults_are_reported_with_field_and_value() -> None:
    # Guards against a process that starts with a malformed bound read as zero.
    text = SETTINGS.replace("bounds.grace-s=6", "bounds.grace-s=soon")
    text = text.replace("node=edge-est-a-1\n", "")
    text = text.replace("listen.front=10.1.0.9:8624", "listen.front=here")
    outcome = parse_settings(text)
    assert isinstance(outcome, Refused)
    faults = outcome.detail.splitlines()
    assert len(faults) == 3
    assert any("bounds.grace-s" in fault and "'soon'" in fault for fault in faults)
    assert any(fault.startswith("node:") for fault in faults)
    assert any(fault.startswith("listen.front:") for fault in faults)


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("listen.front=10.1.0.9:\u00b2", "listen.front"),
        ("listen.front=10.1.0.9:" + "9" * 5_000, "listen.front"),
        ("port-range=7060,\u00b2", "port-range"),
    ],
)
def test_a_port_that_is_not_a_number_is_a_fault(line: str, field: str) -> None:
    # Guards against a settings file that ends the process with a traceback.
    outcome = parse_settings(f"{SETTINGS}{line}\n")
    assert isinstance(outcome, Refused)
    assert outcome.detail.startswith(f"{field}:")
