"""What a term does not know of the runs that a predecessor started."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.scheduling.organisation_usage import NOTHING
from guavapin.scheduling.term import MAX_UNCONFIRMED_MS
from guavapin.scheduling.unresolved_executors import UnresolvedExecutors
from guavapin.scheduling.unservable import shapes_of_fleet

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavapin.jobs.model import Resources
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.organisation_usage import OrganisationUsage
    from guavapin.scheduling.term import Term
    from guavapin.scheduling.unservable import MachineShape


class UnknownRuns:
    """The last list of machines, and the hosts whose runs are not all known.

    `hosts` are those of the term by executor id; their table keeps them. `usage` counts
    what organisations may have running there.
    """

    def __init__(
        self, term: Term, hosts: dict[str, Host], usage: OrganisationUsage
    ) -> None:
        self._term = term
        self._hosts = hosts
        self._usage = usage
        # Pool of each executor in the platform's list of machines, None before the
        # first list.
        self._listed_pools: dict[str, str] | None = None
        # Hosts that the last list of a predecessor named, and none of this term has.
        self._formerly_listed: set[Host] = set()
        self._listed_capacities: dict[str, Resources] = {}
        # Capacities of the other machines in that list, None if they are not known.
        self.off_capacities: tuple[Resources, ...] | None = None
        # Executors whose runs are not known, by whether `resolve_by_ms` has passed;
        # empty after a change that may affect them.
        self._unresolved: dict[bool, UnresolvedExecutors] = {}
        # Executors whose hosts were removed after they had answered.
        self._answered_ids: set[str] = set()
        # Hosts that have answered, but have never listed all ends of their runs.
        self._partly_known: set[Host] = set()

    def apply_list(
        self,
        listed_pools: dict[str, str],
        capacities: dict[str, Resources],
        off: tuple[Resources, ...] | None,
    ) -> list[Host]:
        """Replace the list of machines.

        Returns the hosts that it does not name and on which a predecessor may have
        started what is not known, or has handed over runs and listed them itself.
        """
        self.off_capacities = off
        self._listed_pools = listed_pools
        self._listed_capacities = capacities
        self.mark_changed()
        unlisted = [host for host in self._hosts.values() if not self.is_listed(host)]
        self._formerly_listed.intersection_update(unlisted)
        return [
            host
            for host in unlisted
            if host in self._formerly_listed or not self._is_known(host)
        ]

    def mark_changed(self) -> None:
        """Apply that a host was added or removed, or its state has changed."""
        self._unresolved.clear()

    def record_report(self, host: Host, has_all_ends: bool) -> None:
        """Record whether one of the first reports of a host lists all its ends."""
        self.mark_changed()
        if has_all_ends:
            self._partly_known.discard(host)
        else:
            self._partly_known.add(host)

    def forget_ends(self, host: Host) -> None:
        """Drop the ends that a former life of an executor has not listed."""
        self._partly_known.discard(host)

    def forget(self, host: Host) -> None:
        """Apply that a host was removed."""
        self.forget_ends(host)
        if host.has_answered:
            self._answered_ids.add(host.executor_id)
        self.mark_changed()

    def unresolved(self) -> UnresolvedExecutors:
        """Return the executors that may have runs which are not known here.

        A host that is cut off from the store loses its registration while its runs
        continue; only the platform's list of machines still shows it.
        """
        term = self._term
        is_late = term.now_ms >= term.resolve_by_ms
        if not is_late:
            return self._with_unknown_runs(is_late)
        hiding = {
            host.executor_id: self._possible_pools(host)
            for host in self._partly_known
            if self.may_hide_ends(host)
        }
        if term.now_ms >= term.resolve_restarts_by_ms:
            return UnresolvedExecutors(hiding)
        unknown = self._with_unknown_runs(is_late)
        if not hiding:
            return unknown
        return replace(
            unknown, pools_by_executor={**unknown.pools_by_executor, **hiding}
        )

    def _with_unknown_runs(self, is_late: bool) -> UnresolvedExecutors:
        if self._listed_pools is None:
            return UnresolvedExecutors(are_all_listed=False)
        unresolved = self._unresolved.get(is_late)
        if unresolved is None:
            answered = self._answered_ids if is_late else frozenset()
            pools = {
                host.executor_id: self._possible_pools(host)
                for host in self._hosts.values()
                if not (is_late and host in self._partly_known)
                and not self.are_runs_known(host)
                and self._may_be_up(host)
            }
            for executor_id in self._unseen_executors() - answered:
                pools[executor_id] = frozenset((self._listed_pools[executor_id],))
            unresolved = self._unresolved[is_late] = UnresolvedExecutors(pools)
        return unresolved

    def _possible_pools(self, host: Host) -> frozenset[str]:
        """Return the pools that the entry of an executor and the last list name.

        Either of the two may be out of date after a move of its machine.
        """
        listed = (self._listed_pools or {}).get(host.executor_id, host.pool)
        return frozenset((host.pool, listed))

    def _unseen_executors(self) -> frozenset[str]:
        """Return the listed executors without a registration.

        They may run what a predecessor started. A list may leave out an executor that
        is up, so that one which a later list names is no newer than the term.
        """
        return frozenset(self._listed_pools or ()) - self._hosts.keys()

    def refresh_unseen(self) -> None:
        """Update the capacity on which runs of a predecessor may be unknown.

        A host that has reported once lists all its runs, even while it has more ends
        to list, and no longer takes orders of a predecessor.
        """
        if not self._usage.has_unseen:
            return
        if self._term.now_ms >= self._term.resolve_by_ms:
            self._usage.forget_unseen()
            return
        self._usage.unseen_capacity = self._unseen_capacity()

    def _unseen_capacity(self) -> Resources | None:
        """Return the capacity of the hosts whose runs are not known, None if unknown.

        An executor that is listed and has no registration is such a host too.
        """
        if self._listed_pools is None:
            return None
        capacity = NOTHING
        for executor_id in self._unseen_executors():
            listed = self._listed_capacities.get(executor_id)
            if listed is None:
                return None
            capacity = capacity.plus(listed)
        for host in self._hosts.values():
            if not self._is_known(host) and self._may_be_up(host):
                capacity = capacity.plus(host.registration.capacity)
        return capacity

    def _is_known(self, host: Host) -> bool:
        """Return whether a host has shown its runs, or a predecessor handed them over.

        It may have more ends to list.
        """
        has_reported = host.has_answered or host in self._partly_known
        return has_reported or host.is_handed_over

    def _may_be_up(self, host: Host) -> bool:
        """Return whether a host may be up, once the machines are listed.

        The registry keeps the entry of an executor for seconds after its end, and a
        list of machines may be out of date. It is in doubt then until its end is
        confirmed. One that is up renews its entry.
        """
        is_listed = self._listed_pools is None or host.executor_id in self._listed_pools
        is_in_doubt = host.doubt is not None
        return is_listed or is_in_doubt or (host.is_registered and host.renewed_ms > 0)

    def are_runs_known(self, host: Host) -> bool:
        """Return whether nothing may run on a host that is not in its `runs`."""
        if host.has_answered or host.is_handed_over:
            return True
        return self._is_resolved(host) and not self.may_hide_ends(host)

    def _is_resolved(self, host: Host) -> bool:
        """Return whether no lease of a predecessor can be left on a silent host.

        Entries which the executor has written since the takeover show that it is still
        in its life of then, if they span the time in which a predecessor gives leases.
        """
        term = self._term
        if term.now_ms < term.resolve_by_ms:
            return False
        is_same_life = (
            host.born_ms > 0
            and host.known_ms <= term.began_ms
            and host.renewal_span_ms >= MAX_UNCONFIRMED_MS
        )
        is_answering = host in self._partly_known
        is_over = term.now_ms >= term.resolve_restarts_by_ms
        return is_same_life or is_answering or is_over

    def mark_handed_over(self, host: Host, was_listed: bool) -> None:
        """Record that a predecessor has handed over all that may run on a host.

        `was_listed` is set if its last list of machines named the executor.
        """
        host.is_handed_over = True
        self.mark_changed()
        if was_listed:
            self._formerly_listed.add(host)

    def is_listed(self, host: Host) -> bool:
        """Return whether the last list of machines names the executor of a host.

        Before the first list of the term, that is the last one of a predecessor.
        """
        if self._listed_pools is None:
            return host in self._formerly_listed
        return host.executor_id in self._listed_pools

    @property
    def are_machines_known(self) -> bool:
        """Whether the machines are listed and each that is up has its entry."""
        return (
            self.off_capacities is not None
            and self._listed_pools is not None
            and all(executor_id in self._hosts for executor_id in self._listed_pools)
        )

    def machine_shapes(self) -> Iterator[MachineShape]:
        """Return what each machine offers, as far as it is known."""
        return shapes_of_fleet(self._hosts, self._listed_pools, self.off_capacities)

    def may_hide_ends(self, host: Host) -> bool:
        """Return whether a host may still list ends of runs that are not known here.

        The ends on a host that has been silent for a whole lease do not count: its
        runs have lapsed.
        """
        is_lapsed = not host.is_answering and self._term.now_ms > host.lease_end_ms
        return host in self._partly_known and not is_lapsed
