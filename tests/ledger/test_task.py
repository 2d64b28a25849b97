"""The service `ledger` reports entries that the store refuses, and goes on."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue import messages as kv
from guavapin.ledger.ledger import Entry
from guavapin.ledger.messages import EntriesDurable
from guavapin.ledger.messages import EntriesRefused
from guavapin.ledger.messages import OpenLedger
from guavapin.ledger.messages import RecordEntry
from guavapin.ledger.task import LedgerTask
from tests.ledger.test_ledger import FENCE
from tests.ledger.test_ledger import TOO_LONG
from tests.ledger.test_ledger import Store

if TYPE_CHECKING:
    import pytest

ACCEPTED = Entry("jobs/1", b"a", ("first",), is_create=True)
REFUSED = Entry("jobs/2", TOO_LONG, ("second",), is_create=True)


def test_a_refused_entry_is_reported_once_and_others_are_stored(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Guards against a refused entry that is sent without end, and against one that is
    # given up without a trace.
    store, task = Store(), LedgerTask("writer")
    harness = TaskHarness(task)
    harness.start()
    task.handle(OpenLedger(FENCE, ()))
    for entry in (ACCEPTED, REFUSED):
        task.handle(RecordEntry(entry, is_urgent=True))
    reports, transactions = [], 0
    for _ in range(20):
        harness.advance(100)
        for sent in harness.take_sent():
            if isinstance(sent.message, kv.Transact):
                transactions += 1
                answer = store.transact(sent.message)
                task.handle(kv.Reply(sent.message.request_id, answer))
            else:
                reports.append(sent.message)
    assert reports == [
        EntriesDurable((ACCEPTED,)),
        EntriesRefused((REFUSED,), may_be_stored=False),
    ]
    assert transactions == 3
    (error,) = [row for row in caplog.records if row.levelno >= logging.ERROR]
    assert (error.key, error.length) == (REFUSED.key, len(TOO_LONG))
