"""Injects defects with which the tests show that the checks of the matrix fail."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.keyvalue.messages import Found
from guavapin.keyvalue.messages import Put
from guavapin_matrix.platform import FakePlatform

if TYPE_CHECKING:
    import pytest

    from guavapin.keyvalue.messages import PlatformOutcome
    from guavapin.keyvalue.messages import PlatformRequest


def kinds(violations: tuple[str, ...]) -> set[str]:
    """Return the numbers of the guarantees that the violations name."""
    return {violation.partition(":")[0] for violation in violations}


def overwrite_everything(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable compare-and-swap: the platform accepts a write at any revision."""
    apply = FakePlatform._apply

    def overwrite(self: FakePlatform, request: PlatformRequest) -> PlatformOutcome:
        if isinstance(request, Put):
            found = self.store.get(request.key)
            revision = found.revision if isinstance(found, Found) else 0
            request = replace(request, expected=revision)
        return apply(self, request)

    monkeypatch.setattr(FakePlatform, "_apply", overwrite)
