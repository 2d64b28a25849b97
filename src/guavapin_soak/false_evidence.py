"""Entries and lists of machines that are wrong for a moment, and late starts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin_soak.proxy import LinkMode
from guavapin_soak.succession_plan import SuccessionKind

if TYPE_CHECKING:
    from guavapin_soak.executor_host import ExecutorHost
    from guavapin_soak.succession_plan import SuccessionFault


class FalseEvidence:
    """One executor that the registry or the list of machines shows otherwise, or whose
    starts are delayed.
    """

    def __init__(self, host: ExecutorHost, fault: SuccessionFault, now_ms: int) -> None:
        self._host = host
        self._fault = fault
        self._end_ms = now_ms + fault.for_ms
        self._executor_id = host.executor_id
        self.is_over = False
        named = host.executor_id if fault.names_executor else ""
        match fault.kind:
            case SuccessionKind.LIST_STATE:
                host.list_as(fault.listed_state, named)
            case SuccessionKind.LIST_WITHOUT:
                host.list_as("up", host.executor_id, is_left_out=True)
            case SuccessionKind.ENTRY_REMOVED:
                host.drop_entry(fault.for_ms)
            case SuccessionKind.STARTS_DELAYED:
                host.begin_link(LinkMode.STARTS_DELAYED, True)

    def tick(self, now_ms: int) -> None:
        """Undo the fault when it is due."""
        if self.is_over or now_ms < self._end_ms:
            return
        self.is_over = True
        is_listing = self._fault.kind in (
            SuccessionKind.LIST_STATE,
            SuccessionKind.LIST_WITHOUT,
        )
        if self._fault.kind is SuccessionKind.STARTS_DELAYED:
            self._host.end_link(LinkMode.STARTS_DELAYED, True)
        elif is_listing and self._host.executor_id == self._executor_id:
            self._host.list_as("up", self._executor_id)
