"""Loans of slots between the seats of a zone, applied to the records of a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.limits import loans
from guavapin.limits.slots import LoanGrant
from guavapin.limits.slots import LoanRequest
from guavapin.serving.exchange_relay import SendToSeat
from guavapin.serving.exchange_upstream import takes_work

if TYPE_CHECKING:
    import random

    from guavapin.limits.slots import LoanReturn
    from guavapin.serving.exchange_pool import ExchangePool
    from guavapin.serving.exchange_settings import ExchangeSettings

MAX_SAMPLES = 4


def request_slot(
    pool: ExchangePool,
    seats: int,
    settings: ExchangeSettings,
    now_ms: int,
    rng: random.Random,
) -> SendToSeat | None:
    """Return a loan request to a random seat for a random upstream that takes work.

    Returns None if there is no other seat or none of `MAX_SAMPLES` upstreams fits.
    """
    hosts = pool.hosts
    if seats < 2 or not hosts:
        return None
    for _ in range(MAX_SAMPLES):
        host = hosts[int(rng.random() * len(hosts))]
        record = pool.records.get(host)
        if record is None or not takes_work(record):
            continue
        slots, request = loans.request_loan(record.slots, settings.loans, now_ms)
        if request is None:
            continue
        pool.set_slots(host, slots, now_ms)
        seat = rng.randrange(seats - 1)
        return SendToSeat(seat + (seat >= settings.seat), request)
    return None


def handle_message(
    pool: ExchangePool,
    message: LoanRequest | LoanGrant | LoanReturn,
    has_waiting: bool,
    settings: ExchangeSettings,
    now_ms: int,
) -> SendToSeat | None:
    """Apply a message of another seat and return the reply, None without one.

    No slot is lent while requests wait at this seat.
    """
    host = message.upstream
    state = pool.records[host].slots
    reply: SendToSeat | None = None
    if isinstance(message, LoanRequest):
        if has_waiting or not takes_work(pool.records[host]):
            return None
        state, grant = loans.on_request(state, message, settings.loans, now_ms)
        reply = SendToSeat(message.seat, grant) if grant else None
    elif isinstance(message, LoanGrant):
        state, loan_return = loans.on_grant(state, message, now_ms)
        reply = SendToSeat(message.loan_id.seat, loan_return) if loan_return else None
    else:
        state = loans.on_return(state, message)
    pool.set_slots(host, state, now_ms)
    return reply


def return_idle(
    pool: ExchangePool, settings: ExchangeSettings, now_ms: int
) -> list[SendToSeat]:
    """Return the messages that give idle borrowed slots back to their seats."""
    messages = []
    for host in pool.time_dependent_hosts():
        state = pool.records[host].slots
        if not state.borrowed:
            continue
        state, returns = loans.return_idle(state, settings.loans, now_ms)
        if returns:
            pool.set_slots(host, state, now_ms)
        messages += [SendToSeat(item.loan_id.seat, item) for item in returns]
    return messages
