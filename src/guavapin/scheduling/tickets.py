"""Tickets of a step: which hosts its queue allows, and until when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.scheduling.messages import AdviceRequest

if TYPE_CHECKING:
    from guavapin.jobs.queues import AdviceTerms
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.job_run import StepRun
    from guavapin.scheduling.messages import AdviceReply

# Hosts named in one question. Each costs time of an adviser that serves one question
# after the other.
MAX_HOSTS_PER_REQUEST = 10

# Kept back from a ticket's validity for the way of a start.
TICKET_MARGIN_MS = 250

# Time for the way to the adviser and for questions before this one.
ADVICE_OVERHEAD_MS = 1_500

# Pause before a question that was not answered is asked again.
ADVICE_RETRY_MS = 300


def ticket(step_run: StepRun, host: Host, now_ms: int) -> str:
    """Return a host's valid ticket, "" if there is none."""
    text, until_ms = step_run.tickets.get(host.executor_id, ("", 0))
    return text if now_ms < until_ms else ""


def advice_request(
    step_run: StepRun, hosts: list[Host], terms: AdviceTerms, now_ms: int
) -> AdviceRequest | None:
    """Return what to ask now, None if an answer is awaited or no host is left.

    What a step may run on does not change, so that refused hosts are not named again.
    Hosts that were allowed before come first, then those with the most room.
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
    """Take tickets and refusals."""
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
