"""Tickets of a step: an adviser's permits to use a host for a limited time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.scheduling.messages import AdviceRequest

if TYPE_CHECKING:
    from guavapin.jobs.terms import AdviceTerms
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.job_run import StepRun
    from guavapin.scheduling.messages import AdviceReply

# Hosts in one request. The adviser takes time for each host and serves one request
# after the other.
MAX_HOSTS_PER_REQUEST = 10

# Subtracted from the validity of a ticket for the time that a start order takes.
TICKET_MARGIN_MS = 250

# Part of a request's timeout for the network and for requests ahead of it.
ADVICE_OVERHEAD_MS = 1_500

# Delay before a request without an answer is repeated.
ADVICE_RETRY_MS = 300


def ticket(step_run: StepRun, host: Host, now_ms: int) -> str:
    """Return a step's valid ticket for a host, "" if there is none."""
    text, until_ms = step_run.tickets.get(host.executor_id, ("", 0))
    return text if now_ms < until_ms else ""


def advice_request(
    step_run: StepRun, hosts: list[Host], terms: AdviceTerms, now_ms: int
) -> AdviceRequest | None:
    """Return a request for tickets, None if one is pending or no host is left.

    The hosts that a step may use do not change, so refused hosts are not requested
    again. Hosts that were allowed before come first, then those with the most free
    processor time.
    """
    if now_ms < step_run.next_advice_request_ms:
        return None
    unknown = [
        host
        for host in hosts
        if host.executor_id not in step_run.refused_hosts
        and not ticket(step_run, host, now_ms)
    ]
    if not unknown:
        return None
    unknown.sort(
        key=lambda host: (
            host.executor_id not in step_run.tickets,
            -host.free.cpu_millis,
            host.executor_id,
        )
    )
    named = tuple(host.executor_id for host in unknown[:MAX_HOSTS_PER_REQUEST])
    timeout_ms = terms.decide_ms + terms.per_host_ms * len(named) + ADVICE_OVERHEAD_MS
    step_run.next_advice_request_ms = now_ms + timeout_ms + ADVICE_RETRY_MS
    return AdviceRequest(step_run.subtask(0), named, timeout_ms)


def apply_advice(
    step_run: StepRun, reply: AdviceReply, terms: AdviceTerms, now_ms: int
) -> None:
    """Add the tickets and refusals of a reply; without an answer, retry later."""
    if reply.tickets is None:
        step_run.next_advice_request_ms = now_ms + ADVICE_RETRY_MS
        return
    step_run.next_advice_request_ms = now_ms
    until_ms = now_ms + max(terms.validity_ms - TICKET_MARGIN_MS, 0)
    for executor_id in reply.request.executors:
        if executor_id in reply.tickets:
            step_run.tickets[executor_id] = (reply.tickets[executor_id], until_ms)
        else:
            step_run.refused_hosts.add(executor_id)
