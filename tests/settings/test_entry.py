from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.settings.control import ControlSettings
from guavapin.settings.control import parse_control
from guavapin.settings.entry import EntrySettings
from guavapin.settings.entry import load_entry
from guavapin.settings.entry import parse_entry

ENTRY = """
[node]
name = "matane-e1"
zone = "matane"
seat = 0

[callers]
address = "127.0.0.1:8080"

[operators]
address = "127.0.0.1:8081"
token_file = "token"

[peers]
address = "127.0.0.1:8082"

[[peers.seed]]
name = "gaspe-e1"
zone = "gaspe"
address = "127.0.0.1:9082"

[platform]
address = "127.0.0.1:7000"
"""

CONTROL = """
[node]
name = "matane-c1"
zone = "matane"
seat = 0
[operators]
address = "127.0.0.1:8083"
token_file = "token"
[platform]
address = "127.0.0.1:7000"
[limits]
lease_ms = 5000
"""


def test_complete_files_are_read(tmp_path):
    path = tmp_path / "entry.toml"
    path.write_text(ENTRY)
    cfg = load_entry(path)
    assert isinstance(cfg, EntrySettings)
    assert cfg.peers.seeds[0].zone == "gaspe"
    control = parse_control(CONTROL, "control.toml")
    assert isinstance(control, ControlSettings)
    assert control.limits.lease_ms == 5_000


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ("seat = 0", "seat = -1", "[node] seat = -1; expected an integer from 0"),
        ("seat = 0", "seat = true", "[node] seat = True"),
        ("seat = 0", "seats = 0", "[node] seats = 0; expected one of"),
        ("seat = 0", "", "[node] seat = missing"),
        ("127.0.0.1:8080", "localhost:80", "[callers] address = 'localhost:80'"),
        ("127.0.0.1:8081", "10.0.0.1:8081", "[operators] address = '10.0.0.1:8081'"),
        ('token_file = "token"', "", "[operators] token_file = missing"),
        ('token_file = "token"', "tls_key_file='k'\ntoken_file='t'", "tls_certificate"),
        (
            ':8080"',
            ":8080\"\ntls_key_file='k'",
            "[callers] tls_certificate_file = miss",
        ),
        (
            ':8080"',
            ":8080\"\ntls_certificate_file='c'",
            "[callers] tls_key_file = miss",
        ),
        ("[platform]", "[platfrom]", "[platfrom]  = unknown; expected one of"),
        ('"gaspe"', "3", "[peers.seed.0] zone = 3; expected a name"),
        ("[[peers.seed]]", "[peers.seed]", "[peers] seed = a table of 3 keys"),
    ],
)
def test_error_names_file_table_key_and_expectation(old, new, place):
    faults = parse_entry(ENTRY.replace(old, new), "entry.toml")
    assert isinstance(faults, tuple)
    texts = [str(fault) for fault in faults]
    assert any(text.startswith("entry.toml: ") and place in text for text in texts)


def test_missing_file_is_an_error_value(tmp_path):
    faults = load_entry(tmp_path / "none.toml")
    assert isinstance(faults, tuple)
    assert "none.toml" in str(faults[0])


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
def test_arbitrary_bytes_never_raise(data):
    assert isinstance(parse_entry(data, "x"), tuple)
    assert isinstance(parse_control(data, "x"), tuple)
