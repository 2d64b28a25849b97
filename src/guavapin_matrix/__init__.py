"""The fault matrix: every fault at every step of the four procedures."""

from __future__ import annotations
