"""Transfer of runs from one incarnation of an executor to the next one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.scheduling.host import Host

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.executors.model import Registration
    from guavapin.scheduling.organisation_usage import OrganisationUsage


def begin_incarnation(
    former: Host,
    registration: Registration,
    now_ms: int,
    on_change: Callable[[Host], None],
    usage: OrganisationUsage | None = None,
) -> Host:
    """Return the host of an executor that has started again under its id.

    Orders name an executor by its id only, so a start that was sent to the former
    incarnation may have reached this one. Such a run moves to the new host, whose
    reports show whether it is there. A run that a report of the former incarnation has
    listed has ended with it, and stays with `former`. So does one whose start was not
    sent.
    """
    lease = former.lease.next_life(registration.clock_ms, now_ms)
    host = Host(registration, lease, now_ms, on_change, usage)
    host.former_born_ms = former.born_ms
    host.cordon(former.is_cordoned)
    for run in [*former.runs.values()]:
        if run.is_listed or run.key in former.waiting_starts:
            continue
        former.remove(run, now_ms)
        # The former incarnation may have answered the stop.
        run.is_stop_answered = False
        host.add(run)
        if not run.is_wanted:
            host.unwanted_runs[run.key] = run
    return host
