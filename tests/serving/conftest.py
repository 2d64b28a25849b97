from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.serving.support import Path

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def path() -> Iterator[Path]:
    path = Path()
    yield path
    path.close()
