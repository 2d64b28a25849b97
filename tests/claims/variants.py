"""The claim stores under test, all with the same settings."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TypeAlias

import pytest

from guavapin.claims.log_store import LogStore
from guavapin.claims.record_store import RecordStore
from guavapin.claims.store import ClaimsConfig
from guavapin.claims.store import ClaimStore

StoreFactory: TypeAlias = Callable[[str], ClaimStore]
CFG = ClaimsConfig(confirm_timeout_ms=1_000, settle_ms=20_000)


def record_store(process_id: str) -> ClaimStore:
    return RecordStore(CFG, process_id)


def plain_record_store(process_id: str) -> ClaimStore:
    return RecordStore(replace(CFG, has_pages=False), process_id)


def log_store(process_id: str) -> ClaimStore:
    return LogStore(CFG, process_id)


def lingering_log_store(process_id: str) -> ClaimStore:
    return LogStore(CFG, process_id, linger_ms=10)


VARIANTS = [
    pytest.param(record_store, id="pages"),
    pytest.param(plain_record_store, id="record"),
    pytest.param(log_store, id="log"),
]
# With a linger time the store makes its first call only after the linger, so the tests
# that choose the fault of a single call do not apply.
ALL_VARIANTS = [*VARIANTS, pytest.param(lingering_log_store, id="log-lingering")]
