"""Authentication of callers by their keys, and access to jobs of organisations."""

from __future__ import annotations

import json

import pytest

from guavapin.intake.authentication import KEY_MISSING
from guavapin.intake.authentication import KEY_UNKNOWN
from guavapin.intake.authentication import VIEW_EXPIRED
from guavapin.intake.authentication import Authenticated
from guavapin.intake.authentication import Credentials
from guavapin.intake.authentication import LookUpKey
from guavapin.intake.authentication import authenticate
from guavapin.jobs.access import Access
from guavapin.jobs.access import may_access
from guavapin.jobs.organisations import Organisation
from guavapin.jobs.organisations import key_digest
from guavapin.jobs.queues import Queue
from guavapin.jobs.queues import QueueTable
from guavapin.jobs.table_view import TableView
from guavapin.platform.job_calls import read_key
from guavapin.platform.manifest import decode_manifest

PRIVATE = Queue("q", "h", "/q/", "pool")
PUBLIC = Queue("p", "h", "/p/", "pool", is_public=True)
ACME = Organisation("acme", key_digests=frozenset((key_digest("k1"),)))
TABLE = QueueTable(1, (PRIVATE, PUBLIC), (), (ACME,))
VIEW = TableView(5_000, 1, 10_000)


def decide(table, queue, key, requires_keys=False, view=VIEW, now_ms=10_100):
    credentials = Credentials(now_ms, key)
    return authenticate(table, queue, credentials, requires_keys, view, now_ms)


@pytest.mark.parametrize(
    ("queue", "key", "expected"),
    [
        (PRIVATE, "k1", Authenticated("acme")),
        (PRIVATE, "", KEY_MISSING),
        (PRIVATE, "k2", KEY_UNKNOWN),
        (PUBLIC, "", Authenticated("")),
        (PUBLIC, "k2", Authenticated("")),
    ],
)
def test_calls_are_attributed_to_the_organisation_of_their_key(queue, key, expected):
    # Guards against a call that is served with a key that no table holds.
    assert decide(TABLE, queue, key) == expected


def test_keys_are_needed_only_where_the_deployment_has_organisations():
    table = QueueTable(1, (PRIVATE,))
    assert decide(table, PRIVATE, "") == Authenticated("")
    assert decide(table, PRIVATE, "k1", True) == KEY_UNKNOWN


def test_a_view_that_is_too_old_serves_no_call_with_a_key():
    # Guards against a removed key that a host without the store still accepts.
    assert decide(TABLE, PRIVATE, "k1", now_ms=14_749) == Authenticated("acme")
    assert decide(TABLE, PRIVATE, "k1", now_ms=14_750) == VIEW_EXPIRED
    assert decide(TABLE, PUBLIC, "", now_ms=60_000) == Authenticated("")
    never = TableView(5_000, 1)
    assert decide(TABLE, PRIVATE, "k1", view=never) == VIEW_EXPIRED


def test_an_unknown_key_is_looked_up_unless_the_view_is_recent():
    # Guards against a 401 for a key that was added after the last proof.
    assert decide(TABLE, PRIVATE, "k2", now_ms=10_500) == KEY_UNKNOWN
    assert decide(TABLE, PRIVATE, "k2", now_ms=10_501) == LookUpKey()


def test_jobs_are_open_to_their_own_organisation():
    # Guards against a caller that reads or cancels jobs of another organisation.
    assert may_access(Access("acme", "h/q/"), "acme", "h/q/")
    assert not may_access(Access("other", "h/q/"), "acme", "h/q/")
    assert not may_access(Access("", "h/p/", is_public=True), "acme", "h/q/")
    assert may_access(Access("", "h/q/", is_public=True), "acme", "h/q/")
    assert may_access(Access("other", "h/q/"), "", "h/q/")


def test_keys_of_a_table_are_in_no_representation():
    # Guards against a key that reaches a log line or an error.
    manifest = {
        "version": 1,
        "tenants": [
            {"name": "acme", "api-keys": ["secret-1"], "weight": 2, "cap": {"cpu": 5}}
        ],
    }
    table = decode_manifest(json.dumps(manifest).encode())
    assert table is not None
    assert table.owner_of(key_digest("secret-1")) == "acme"
    assert table.organisations[0].cap.cpu_millis == 5
    assert "secret-1" not in repr(table)
    assert repr(key_digest("secret-1")) not in repr(table)


def test_a_key_is_read_from_its_scheme_only():
    assert read_key("Token k1") == "k1"
    assert read_key("token  k1 ") == "k1"
    assert read_key("Bearer k1") == ""
    assert read_key("") == ""
