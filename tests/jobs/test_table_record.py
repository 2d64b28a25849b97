"""The record of a table that entry hosts send one another."""

from __future__ import annotations

import itertools
import json
import random

import pytest

from guavapin.jobs.model import Resources
from guavapin.jobs.organisations import Organisation
from guavapin.jobs.queues import Queue
from guavapin.jobs.queues import QueueTable
from guavapin.jobs.table_changes import ChangeHistory
from guavapin.jobs.table_changes import apply_changes
from guavapin.jobs.table_changes import find_changes
from guavapin.jobs.table_faults import MAX_KEY_BYTES
from guavapin.jobs.table_faults import find_organisation_fault
from guavapin.jobs.table_messages import TableDescribed
from guavapin.jobs.table_record import decode_changes
from guavapin.jobs.table_record import decode_table
from guavapin.jobs.table_record import encode_changes
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


def test_changes_lead_from_one_table_to_the_next():
    # Guards against a host that serves by a table which the operator never stored, and
    # against changes that are applied to another table than theirs.
    rng = random.Random(3)
    names = [f"q{n}" for n in range(9)]

    def make(version: int) -> QueueTable:
        rows = [
            Queue(name, "h", f"/{name}/", rng.choice("ab"))
            for name in names
            if rng.random() < 0.7
        ]
        organisations = TABLE.organisations if rng.random() < 0.5 else ()
        return QueueTable(version, tuple(rows), TABLE.pools, organisations)

    tables = [make(version) for version in range(1, 40)]
    for base, table in itertools.pairwise(tables):
        changes = (find_changes(base, table),)
        changed = apply_changes(base, decode_changes(encode_changes(changes))[0])
        assert set(changed.queues) == set(table.queues)
        assert (changed.version, changed.pools) == (table.version, table.pools)
        assert changed.organisations == table.organisations
        assert apply_changes(table, changes[0]) is None
    twice = QueueTable(41, (*tables[-1].queues, *tables[-1].queues))
    assert find_changes(tables[-1], twice) is None


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


def test_changes_of_a_table_that_repeats_a_key_are_not_known() -> None:
    # Guards against a removed public queue that goes on beside one with its key.
    public = Queue("a1", "h", "/q/", "pool", is_public=True)
    other = Queue("a2", "h", "/q/", "pool")
    base, table = QueueTable(2, (public, other)), QueueTable(3, (other,))
    assert find_changes(base, table) is None


def test_changes_have_the_organisations_once() -> None:
    # Guards against changes that are many times as long as the table.
    history = ChangeHistory()
    tables = [
        QueueTable(n, (), (), (Organisation(f"o{n}", 1.0, Resources()),))
        for n in range(4)
    ]
    for base, table in itertools.pairwise(tables):
        history.add(find_changes(base, table))
    changes = history.since(0)
    assert [row.organisations is None for row in changes] == [True, True, False]
    changed = tables[0]
    for row in changes:
        changed = apply_changes(changed, row)
    assert changed == tables[-1]
