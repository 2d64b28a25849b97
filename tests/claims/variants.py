"""The claim stores under test, each with the same settings."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import pytest

from guavapin.claims.record_store import RecordStore
from guavapin.claims.store import ClaimsConfig
from guavapin.claims.store import ClaimStore

Make: TypeAlias = Callable[[str], ClaimStore]
CFG = ClaimsConfig(patience_ms=1_000, settle_ms=20_000)


def record_store(process_id: str) -> ClaimStore:
    return RecordStore(CFG, process_id)


VARIANTS = [pytest.param(record_store, id="record")]
