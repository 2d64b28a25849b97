from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from guavapin.serving.front_config import FrontConfig
from tests.serving.support import ServingPath

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def path() -> Iterator[ServingPath]:
    path = ServingPath()
    yield path
    path.close()


@pytest.fixture
def small_path() -> Iterator[ServingPath]:
    """Return a path whose front has small limits."""
    cfg = FrontConfig(
        max_connections=2,
        max_head_bytes=2_000,
        idle_timeout_ms=300,
        header_timeout_ms=200,
    )
    path = ServingPath(cfg)
    yield path
    path.close()
