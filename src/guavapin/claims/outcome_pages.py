"""The open pages of this process and the assignment of claims to them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.claims import outcome_page
from guavapin.claims.outcome_page import Page
from guavapin.claims.outcome_page import PageStep

if TYPE_CHECKING:
    from guavapin.claims.call_tracker import CallTracker
    from guavapin.claims.record import ClaimRecord
    from guavapin.claims.store import Actions
    from guavapin.claims.store import ClaimsConfig
    from guavapin.keyvalue.messages import PlatformOutcome

PREFIX = "outcomes/"


class OutcomePages:
    """Owns the pages and writes them through the store's call tracker."""

    def __init__(self, cfg: ClaimsConfig, process_id: str, calls: CallTracker) -> None:
        self._cfg = cfg
        self._prefix = f"{PREFIX}{process_id}/"
        self._calls = calls
        self._pages: dict[str, Page] = {}
        self._latest = ""
        self._page_of: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._pages)

    def assign(self, claim_id: str, now_ms: int) -> str:
        """Return the page that a claim names; it is the same at each repetition."""
        if claim_id in self._page_of:
            return self._page_of[claim_id]
        page = self._pages.get(self._latest)
        if page is None or not outcome_page.accepts(page, now_ms):
            previous, self._latest = self._latest, self._prefix + self._next_suffix()
            page = Page(now_ms + self._cfg.page_open_ms)
            self._drop_if_finished(previous, now_ms)
        self._pages[self._latest] = outcome_page.assign(page)
        self._page_of[claim_id] = self._latest
        return self._latest

    def abandon(self, claim_id: str, now_ms: int) -> None:
        """Remove a claim that was not granted or whose outcome cannot be written."""
        key = self._page_of.pop(claim_id, "")
        if key in self._pages:
            self._pages[key] = outcome_page.abandon(self._pages[key])
            self._drop_if_finished(key, now_ms)

    def add(self, record: ClaimRecord, now_ms: int) -> Actions:
        """Add the outcome of a claim to its page."""
        key = self._page_of.pop(record.claim_id)
        until_ms = now_ms + self._cfg.settle_ms
        page, step = outcome_page.add(self._pages[key], record, until_ms)
        self._pages[key] = page
        return self._perform(key, step, now_ms)

    def on_reply(
        self, key: str, outcome: PlatformOutcome, now_ms: int
    ) -> tuple[tuple[str, ...], Actions]:
        """Apply the answer to a write; return the claims whose outcomes it wrote."""
        page = self._pages.get(key)
        if page is None:
            return (), ()
        updated, step = outcome_page.on_reply(page, outcome)
        self._pages[key] = updated
        done = updated.entries[page.written : updated.written]
        actions = self._perform(key, step, now_ms)
        self._drop_if_finished(key, now_ms)
        return tuple(record.claim_id for record in done), actions

    def on_wake(self, key: str, now_ms: int) -> tuple[tuple[str, ...], Actions]:
        """Write a page after a linger or backoff.

        If the page has reached `until_ms`, its unwritten outcomes are dropped instead
        and their claims returned.
        """
        page = self._pages.get(key)
        if page is None:
            return (), ()
        if now_ms < page.until_ms:
            return (), self._perform(key, PageStep.WRITE, now_ms)
        lost = page.entries[page.written :]
        self._pages[key] = replace(page, entries=page.entries[: page.written])
        self._pages[key] = replace(self._pages[key], is_busy=False, sending=0)
        self._drop_if_finished(key, now_ms)
        return tuple(record.claim_id for record in lost), ()

    def _perform(self, key: str, step: PageStep, now_ms: int) -> Actions:
        page = self._pages[key]
        if step is PageStep.PAUSE:
            return self._calls.back_off(key, page.tries, key)
        if step is PageStep.LINGER:
            return self._calls.pause(key, self._cfg.page_linger_ms)
        if step is PageStep.IDLE:
            return ()
        page = outcome_page.send(page)
        self._pages[key] = page
        value = outcome_page.encode_page(page.entries[: page.sending])
        return self._calls.write(key, value, page.revision, now_ms)

    def _drop_if_finished(self, key: str, now_ms: int) -> None:
        page = self._pages.get(key)
        if page is not None and outcome_page.is_finished(page, now_ms):
            del self._pages[key]
            self._calls.remove(key)

    def _next_suffix(self) -> str:
        return f"{self._calls.next_number():012d}"
