"""Parsing of decimal numbers in text from other processes."""

from __future__ import annotations

# Fits into a signed integer of 64 bits.
MAX_DIGITS = 18


def parse_decimal(text: str) -> int | None:
    """Return the whole number that ASCII digits spell, or None for other text.

    `str.isdigit` alone also accepts characters such as "²", for which `int` raises.
    For example, ``parse_decimal("042")`` is 42, and ``parse_decimal("-1")`` is None.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        return None
    return int(text)
