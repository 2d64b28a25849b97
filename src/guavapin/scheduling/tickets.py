"""Tickets of a step: an adviser's permits to use a host for a limited time.

A ticket is valid for one incarnation of an executor.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from guavapin.scheduling.messages import AdviceRequest

if TYPE_CHECKING:
    from guavapin.executors.model import Start
    from guavapin.jobs.terms import AdviceTerms
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.messages import AdviceReply
    from guavapin.scheduling.step_run import StepRun

# Hosts in one request. The adviser takes time for each host and serves one request
# after the other.
MAX_HOSTS_PER_REQUEST = 10

# Subtracted from the validity of a ticket for the time that a start order takes.
TICKET_MARGIN_MS = 250

# Part of a request's timeout for the network and for requests ahead of it.
ADVICE_OVERHEAD_MS = 1_500

# Delay before a request without an answer is repeated.
ADVICE_RETRY_MS = 300

# Delay before a subtask whose ticket was refused starts again. It bounds the starts
# that an executor refuses, each of which takes a millisecond.
REFUSED_TICKET_DELAY_MS = 300


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permit for the incarnation of an executor that started at `born_ms`.

    It expires at `until_ms`, in the scheduler's monotonic time.
    """

    text: str
    born_ms: int
    until_ms: int


def ticket(step_run: StepRun, host: Host, now_ms: int) -> str:
    """Return a step's valid ticket for a host, "" if there is none."""
    known = step_run.tickets.get(host.executor_id)
    if known is None or known.born_ms != host.born_ms or now_ms >= known.until_ms:
        return ""
    return known.text


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
    named = unknown[:MAX_HOSTS_PER_REQUEST]
    timeout_ms = terms.decide_ms + terms.per_host_ms * len(named) + ADVICE_OVERHEAD_MS
    step_run.next_advice_request_ms = now_ms + timeout_ms + ADVICE_RETRY_MS
    return AdviceRequest(
        step_run.subtask(0),
        tuple(host.executor_id for host in named),
        timeout_ms,
        tuple(host.born_ms for host in named),
    )


def apply_advice(
    step_run: StepRun, reply: AdviceReply, terms: AdviceTerms, now_ms: int
) -> None:
    """Add the tickets and refusals of a reply; without an answer, retry later."""
    if reply.tickets is None:
        step_run.next_advice_request_ms = now_ms + ADVICE_RETRY_MS
        return
    step_run.next_advice_request_ms = now_ms
    until_ms = now_ms + max(terms.validity_ms - TICKET_MARGIN_MS, 0)
    request = reply.request
    for executor_id, born_ms in zip(request.executors, request.born_ms, strict=True):
        if executor_id in reply.tickets:
            text = reply.tickets[executor_id]
            step_run.tickets[executor_id] = Ticket(text, born_ms, until_ms)
        else:
            step_run.refused_hosts.add(executor_id)


def handle_refused_ticket(
    step_run: StepRun, host: Host, start: Start, now_ms: int
) -> None:
    """Drop a ticket that an executor has refused, and delay the subtask's next start.

    The executor may have started again since the ticket was requested. The entry stays,
    since it shows that the adviser allows the executor.
    """
    known = step_run.tickets.get(host.executor_id)
    if known is not None and known.text == start.ticket:
        step_run.tickets[host.executor_id] = replace(known, until_ms=0)
    step_run.not_before_ms[start.subtask.index] = now_ms + REFUSED_TICKET_DELAY_MS
