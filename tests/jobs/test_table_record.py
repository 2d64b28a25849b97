"""The record of a table that entry hosts send one another."""

from __future__ import annotations

import json

import pytest

from guavapin.jobs.table_faults import MAX_KEY_BYTES
from guavapin.jobs.table_faults import find_organisation_fault
from guavapin.jobs.table_messages import TableDescribed
from guavapin.jobs.table_record import decode_table
from guavapin.jobs.table_record import encode_table
from guavapin.jobs.table_relay import decode_described
from guavapin.jobs.table_relay import encode_described
from guavapin.jobs.table_relay import queried_version
from guavapin.platform.manifest import decode_manifest

VALUE = json.dumps(
    {
        "version": 7,
        "routes": [
            {
                "name": "r",
                "host": "h",
                "prefix": "/q/",
                "service": "pool",
                "priority": 1,
                "attempts": 4,
                "stretch": 1.6,
                "latency-slo-ms": 600,
                "public": True,
                "hint": {"decide-ms": 5, "per-worker-ms": 1, "validity-ms": 3000},
            }
        ],
        "services": [{"name": "pool", "rejects-overload": True}, {"name": "off"}],
        "tenants": [
            {"name": "acme", "api-keys": ["k1", "k2"], "weight": 8, "cap": {"cpu": 9}}
        ],
        "limits": {"max-header-bytes": 16384, "idle-timeout-ms": 15000},
    }
).encode()
TABLE = decode_manifest(VALUE)


def test_a_table_survives_its_record_without_its_keys():
    # Guards against a host that serves by a damaged table, and against sent keys.
    record = encode_table(TABLE)
    assert decode_table(record) == TABLE
    assert b"k1" not in record


def test_an_answer_names_a_table_only_if_it_has_one():
    for table in (TABLE, None):
        described = TableDescribed(0, 7, 12, table)
        assert decode_described(encode_described(described)) == described
    assert decode_described(b'{"version": 8, "age_ms": 1, "table": {}}') is None
    assert decode_described(b"\xff") is None
    assert [queried_version(text) for text in ("version=7", "version=x", "")] == [
        7,
        0,
        0,
    ]


@pytest.mark.parametrize(
    ("rows", "text"),
    [
        ((("acme", ("k", "k")),), "key 2 of organisation 'acme' is one of"),
        ((("acme", ("k",)), ("b", ("k",))), "is one of organisation 'acme' too"),
        ((("acme", ("",)),), "is empty"),
        ((("", ("k",)),), "empty name"),
        ((("acme", ()), ("Acme", ())), "have the same name"),
        ((("acme", ("x" * (MAX_KEY_BYTES + 1),)),), "expected at most"),
        ((("acme", tuple(f"{n:08000}" for n in range(126))),), "all keys"),
        ((("acme", ("k1", "k2")), ("b", ("k3",)), ("c", ())), ""),
    ],
)
def test_faults_of_organisations_are_named_without_their_keys(rows, text):
    # Guards against a key that is attributed to either of two organisations.
    fault = find_organisation_fault(rows)
    assert text in fault
    assert bool(fault) == bool(text)
