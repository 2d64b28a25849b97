"""Text from other processes is parsed as a number without raising."""

from __future__ import annotations

import pytest

from guavapin.kernel.decimal import parse_decimal


@pytest.mark.parametrize(
    "text", ["", "-1", "+1", "1.0", " 1", "\u00b2", "\u0663", "9" * 19]
)
def test_text_that_is_not_a_short_decimal_number_is_none(text: str) -> None:
    # Guards against `int` raising for "\u00b2", or for thousands of digits, which
    # `str.isdigit` accepts.
    assert parse_decimal(text) is None


def test_ascii_digits_are_parsed() -> None:
    # Guards against a check that refuses ordinary numbers.
    assert parse_decimal("0042") == 42
    assert parse_decimal("9" * 18) == 10**18 - 1
