"""Detects entry processes that return to an older generation."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING

from guavapin.publication.messages import QueryConfiguration

if TYPE_CHECKING:
    from concurrent.futures import Future

    from guavapin.composition import EntryProcess
    from guavapin_scenarios.site import ScenarioSite

POLL_INTERVAL_S = 0.25
REPLY_TIMEOUT_S = 5


class GenerationMonitor:
    """Polls the generation of every entry process every `POLL_INTERVAL_S`.

    `reverted` describes each decrease that was seen.
    """

    def __init__(self, site: ScenarioSite) -> None:
        self.reverted: list[str] = []
        self._site = site
        self._stopped = threading.Event()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="generations")
        self._fut: Future[None] | None = None
        # Highest generation by the `id` of a process. The process is kept beside it,
        # since a later one could get the same `id` otherwise.
        self._highest: dict[int, tuple[EntryProcess, int]] = {}

    def start(self) -> None:
        """Start polling on a thread of its own."""
        self._fut = self._executor.submit(self._run)

    def stop(self) -> None:
        """Stop polling; raise the error that ended the polling early, if any."""
        self._stopped.set()
        if self._fut is not None:
            self._fut.result()
        self._executor.shutdown()

    def _run(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_S):
            for name, entry in list(self._site.entries.items()):
                self._check_entry(name, entry)

    def _check_entry(self, name: str, entry: EntryProcess) -> None:
        fut = entry.kernel.ask("configuration", QueryConfiguration())
        try:
            generation = fut.result(REPLY_TIMEOUT_S).generation
        except FutureTimeoutError:
            # The process stopped before it could reply.
            return
        _, seen = self._highest.get(id(entry), (entry, 0))
        if generation < seen:
            self.reverted.append(f"{name}: generation {seen}, then {generation}")
        self._highest[id(entry)] = entry, max(seen, generation)
