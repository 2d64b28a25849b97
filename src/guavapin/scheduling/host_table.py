"""The hosts of a term: polls, leases, and the orders for their runs."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Protocol

from guavapin.executors.model import Done
from guavapin.executors.model import HostReport
from guavapin.executors.model import Look
from guavapin.executors.model import NoAnswer
from guavapin.executors.model import OrderOutcome
from guavapin.executors.model import Pace
from guavapin.executors.model import Refusal
from guavapin.executors.model import RefusalKind
from guavapin.executors.model import Start
from guavapin.executors.model import Stop
from guavapin.scheduling.end_evidence import Sign
from guavapin.scheduling.end_evidence import add_sign
from guavapin.scheduling.end_evidence import confirmed_sign
from guavapin.scheduling.end_evidence import is_former_report
from guavapin.scheduling.end_evidence import is_list_conclusive
from guavapin.scheduling.host import Host
from guavapin.scheduling.host_lease import HostLease
from guavapin.scheduling.incarnation import begin_incarnation
from guavapin.scheduling.messages import OrderContext
from guavapin.scheduling.messages import SendOrder
from guavapin.scheduling.messages import StepDown
from guavapin.scheduling.organisation_usage import OrganisationUsage
from guavapin.scheduling.room_index import RoomIndex
from guavapin.scheduling.run import Run
from guavapin.scheduling.run import RunPhase
from guavapin.scheduling.unknown_runs import UnknownRuns

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.executors.model import EndedRow
    from guavapin.executors.model import Order
    from guavapin.executors.model import Registration
    from guavapin.executors.model import RunningRow
    from guavapin.jobs.model import Resources
    from guavapin.scheduling.term import Term

# A host answers within a few milliseconds. An answer that takes longer than this is
# treated as lost; its order may have been carried out.
ORDER_TIMEOUT_MS = 700

# Time for which a host holds a poll open until a run ends. Each poll extends the
# lease, so leases are extended this often.
POLL_WAIT_MS = 1_000

# Time for which a host with fillers holds a poll open. It is shorter because fillers
# may disturb other runs, and the load figures of an answer cover the last half second.
FILLER_POLL_WAIT_MS = 500

# Time for which a host holds a poll open on which nothing runs, but a start may come
# late. A lost one ends while the reading before it still counts, so that no start waits
# for it.
WATCH_POLL_WAIT_MS = 500

# Interval between an answer and the next poll of a busy host. Ends that occur within
# it share one answer.
POLL_INTERVAL_MS = 40

# Delay before a host that did not answer is polled again.
POLL_RETRY_MS = 250

# Interval of the polls that read the clock of an idle host: at a drift of 2%, the
# estimate is off by at most 160 ms.
IDLE_POLL_INTERVAL_MS = 8_000

# Interval at which a stop that had no effect is repeated.
STOP_RETRY_MS = 500

# Refusals after which the executor has not extended its lease: it has done nothing, or
# another one has received the order.
_WITHOUT_LEASE = (RefusalKind.UNHEALTHY, RefusalKind.OTHER_LIFE)

log = logging.getLogger("guavapin.scheduling.hosts")


class RunHandler(Protocol):
    """Handles the changes of runs that the answers of hosts report."""

    def adopt(self, host: Host, row: RunningRow) -> None:
        """Adopt a run that the host lists and the scheduler does not know."""
        ...

    def handle_end(self, host: Host, row: EndedRow) -> bool:
        """Apply the end of a run; True if it must be stored before it is confirmed."""
        ...

    def handle_begun_run(self, run: Run) -> None:
        """Handle that a host has taken a start, or lists its run."""
        ...

    def handle_loads(self, host: Host) -> None:
        """Handle that a report of the host has updated the loads of its runs."""
        ...

    def handle_lost_run(self, host: Host, run: Run, reason: str) -> None:
        """Handle the loss of a run whose end was not reported."""
        ...

    def handle_refused_ticket(self, host: Host, start: Start) -> None:
        """Handle that a host has refused a start for want of a valid ticket."""
        ...


class HostTable:
    """All hosts of a term by executor id.

    Methods apply an event to the hosts and add the resulting orders to the term's
    actions.
    """

    def __init__(self, term: Term, handler: RunHandler) -> None:
        self.by_id: dict[str, Host] = {}
        self.room = RoomIndex()
        self.usage = OrganisationUsage()
        self.unknown_runs = UnknownRuns(term, self.by_id, self.usage)
        # Leases of removed hosts, whose executors may register again under their ids.
        self._former_leases: dict[str, HostLease] = {}
        # Hosts whose executors have ended while the lease was unconfirmed.
        # They have the reason and the time of each.
        self._deferred_ends: dict[Host, tuple[str, int]] = {}
        self._term = term
        self._handler = handler

    def replace_registrations(self, registrations: Iterable[Registration]) -> None:
        """Apply the whole registry; hosts that it does not contain are unregistered."""
        listed = {row.executor_id: row for row in registrations}
        for executor_id in [*self.by_id]:
            if executor_id not in listed:
                self.unregister(executor_id)
        for registration in listed.values():
            self.register(registration)

    def register(self, registration: Registration) -> None:
        """Add or update the host of a registration."""
        host = self.by_id.get(registration.executor_id)
        if host is None:
            now_ms, on_change = self._term.now_ms, self.room.mark_changed
            lease = self._new_lease(registration)
            host = Host(registration, lease, now_ms, on_change, self.usage)
            self._add(host)
            self._refuse_late_starts(host)
            return
        # An entry without a start time does not show whether the executor restarted.
        born_ms = registration.born_ms or host.born_ms
        # A new life after the executor's time of day was set back shows in its report.
        is_former = born_ms == host.former_born_ms != host.born_ms
        if is_former or born_ms < host.born_ms:
            log.info("entry is out of date", extra={"executor": host.executor_id})
            return
        if host.born_ms and born_ms != host.born_ms:
            self._replace_incarnation(host, registration)
            return
        if registration.is_draining and not host.registration.is_draining:
            log.info("host is draining", extra={"executor": host.executor_id})
        host.update_registration(registration, self._term.now_ms)
        self.unknown_runs.mark_changed()

    def add_unregistered(self, registration: Registration) -> Host:
        """Add the host of an executor that may be up although it has no entry now.

        Nothing starts there until it has one.
        """
        self.register(registration)
        host = self.by_id[registration.executor_id]
        host.has_had_entry = False
        host.unregister()
        return host

    def _new_lease(self, registration: Registration) -> HostLease:
        """Return the lease of a host that is added.

        An executor whose entry was removed may have kept its lease, or started again.
        """
        terms, now_ms = self._term.lease_terms, self._term.now_ms
        former = self._former_leases.pop(registration.executor_id, None)
        if former is not None:
            return former.next_life(registration.clock_ms, now_ms)
        return HostLease(terms, registration.clock_ms, now_ms)

    def unregister(self, executor_id: str) -> None:
        """Mark a host whose registration was removed; its runs may continue."""
        host = self.by_id.get(executor_id)
        if host is not None:
            host.unregister()
            self._remove_if_empty(host)

    def end_incarnation(self, host: Host, reason: str) -> None:
        """Remove a host whose executor has ended, and all runs on it.

        While the lease is unconfirmed, this is deferred: a successor may have seen the
        ends of these runs, and their subtasks must not start again.
        """
        if self._term.is_unconfirmed:
            self._deferred_ends[host] = reason, self._term.now_ms
            return
        self._delete(host)
        extra = {
            "executor": host.executor_id,
            "reason": reason,
            "runs": len(host.runs),
            "last_sign_of_life_ms": self._term.now_ms - host.last_sign_of_life_ms,
        }
        log.info("host gone", extra=extra)
        self._remove_runs(host, [*host.runs.values()], reason)

    def doubt(self, host: Host, sign: Sign, list_requested_ms: int = 0) -> None:
        """Apply a sign that an executor has ended; nothing starts there beside it.

        Runs whose starts were sent stay, since they may be at work or about to begin.
        """
        former, now_ms = host.doubt, self._term.now_ms
        host.set_doubt(add_sign(former, sign, now_ms, list_requested_ms))
        if former is not None and sign in former.signs:
            return
        extra = {
            "executor": host.executor_id,
            "sign": sign.value,
            "runs": len(host.runs),
            "last_sign_of_life_ms": now_ms - host.last_sign_of_life_ms,
        }
        log.info("host may have ended", extra=extra)
        self._drop_waiting_starts(host)
        host.probe = Look(self._term.token, 0)
        self._send(host, host.probe, ORDER_TIMEOUT_MS)

    def handle_unlisted(self, executor_id: str, sign: Sign, requested_ms: int) -> None:
        """Apply that a list of machines no longer shows an executor.

        A host on which nothing may run is removed: if its executor is up, it registers
        again.
        """
        host = self.by_id.get(executor_id)
        if host is None:
            return
        is_idle = not host.has_sent_runs and self.unknown_runs.are_runs_known(host)
        if is_idle and not self._term.is_unconfirmed:
            self.end_incarnation(host, sign.value)
        else:
            self.doubt(host, sign, requested_ms)

    def apply_list_age(self) -> None:
        """Remove the hosts whose end the last list confirms by its age."""
        for host in [*self.by_id.values()]:
            is_shown = host.doubt is not None and is_list_conclusive(
                host.doubt, host.last_sign_of_life_ms
            )
            if is_shown:
                self._apply_end(host, Sign.NOT_LISTED)

    def _apply_end(self, host: Host, sign: Sign) -> None:
        """Remove a host whose executor has ended, as a sign shows.

        A start of a predecessor without an answer may reach a later life under the same
        id, so it is kept, and its host, unless another executor has the address. One
        without an entry has no later life, and each handover would keep it anew.
        """
        runs = [*host.runs.values()]
        ended = runs
        may_return = host.has_had_entry and not host.has_answered
        if may_return and sign is not Sign.OTHER_LIFE:
            ended = [run for run in runs if run.phase is not RunPhase.UNSETTLED]
        if len(ended) == len(runs):
            self.end_incarnation(host, sign.value)
        elif not self._term.is_unconfirmed:
            # The next outcome or list decides again if the lease is not sure now.
            self._remove_runs(host, ended, sign.value)

    def _replace_incarnation(self, former: Host, registration: Registration) -> Host:
        """Replace the host of an executor that has started again; return the new one.

        Runs that may be on either incarnation move to the new host.
        """
        now_ms = self._term.now_ms
        host = begin_incarnation(
            former, registration, now_ms, self.room.mark_changed, self.usage
        )
        self.end_incarnation(former, "the executor has started again")
        former.mark_removed()
        self.unknown_runs.forget_ends(former)
        self._add(host)
        # A former life may have answered the stop of a start that comes late.
        self._refuse_late_starts(host)
        return host

    def _refuse_late_starts(self, host: Host) -> None:
        """Let an executor refuse the starts that were given up and may still arrive."""
        for order in host.lease.unanswered_starts:
            if (order.subtask, order.attempt) not in host.runs:
                self._refuse_start(host, order)

    def _refuse_start(self, host: Host, order: Start) -> None:
        """Stop a run that was given up, or let its start be refused."""
        stop = Stop(order.subtask, order.attempt, self._term.token)
        self._send(host, stop, ORDER_TIMEOUT_MS)

    def _add(self, host: Host) -> None:
        self.by_id[host.executor_id] = host
        self.unknown_runs.mark_changed()
        extra = {"executor": host.executor_id, "pool": host.pool}
        log.info("host known", extra={**extra, "runs": len(host.runs)})

    def apply_listed_pools(
        self,
        listed_pools: dict[str, str],
        capacities: dict[str, Resources],
        off: tuple[Resources, ...] | None = None,
        requested_ms: int = 0,
    ) -> None:
        """Replace the pool of each executor in the platform's list of machines.

        `capacities` has those of their machines, as far as they are known. `off` has
        the capacities of the machines without an executor, None if unknown.
        """
        for host in self.by_id.values():
            if host.doubt is not None and host.executor_id in listed_pools:
                host.set_doubt(host.doubt.without_list())
        for host in self.unknown_runs.apply_list(listed_pools, capacities, off):
            self.doubt(host, Sign.NOT_LISTED, requested_ms)

    def tick(self) -> None:
        """Poll due hosts, remove the runs of ended leases, and repeat due stops."""
        now_ms = self._term.now_ms
        if self._deferred_ends and not self._term.is_unconfirmed:
            ended, self._deferred_ends = self._deferred_ends, {}
            for host, (reason, since_ms) in ended.items():
                # An executor that has answered a later order has not ended.
                if host.answered_sent_ms <= since_ms:
                    self.end_incarnation(host, reason)
        for host in [*self.by_id.values()]:
            if not host.is_poll_pending and now_ms >= host.next_poll_ms:
                self._poll_if_needed(host)
            if self._is_lease_expired(host):
                reason = "the lease has ended and the host does not answer"
                extra = {"executor": host.executor_id, "unanswered": host.unanswered}
                log.info("leases ended", extra=extra | host.lease.describe(now_ms))
                self._remove_runs(host, [*host.runs.values()], reason)
                self._remove_if_empty(host)
            for run in [*host.unwanted_runs.values()]:
                self._retry_stop_if_due(host, run)

    def start(self, host: Host, run: Run, order: Start) -> None:
        """Reserve the resources of a run and send the order that starts it.

        The order waits for an answer of the host if its clock was not read lately.
        """
        host.add(run)
        host.record_start(self._term.now_ms)
        if self._is_clock_known(host):
            self._send_start(host, order)
            return
        host.waiting_starts[run.key] = order
        if not host.is_poll_pending:
            self._poll_if_needed(host)

    def stop(self, run: Run) -> None:
        """Stop a run; its resources are freed when its end is known."""
        host = self.by_id.get(run.executor_id)
        run.is_wanted = False
        if host is None or run.key not in host.runs:
            return
        if run.key in host.waiting_starts:
            self._drop_start(host, run)
            return
        host.unwanted_runs[run.key] = run
        if run.phase is RunPhase.RUNNING:
            run.phase = RunPhase.STOPPING
        self._send_stop(host, run)

    def pace(self, run: Run, percent: int) -> None:
        """Order a run to work at a percentage of its speed."""
        host = self.by_id.get(run.executor_id)
        if host is not None and run.pace != percent:
            run.pace = percent
            run.paced_ms = self._term.now_ms
            order = Pace(run.subtask, run.attempt, percent, self._term.token)
            self._send(host, order, ORDER_TIMEOUT_MS)

    def handle_answer(self, context: OrderContext, outcome: OrderOutcome) -> None:
        """Apply the answer to an order of this term; drop it if the host is gone."""
        host = self.by_id.get(context.executor_id)
        if host is None:
            return
        if is_former_report(outcome, host.born_ms, context.is_on_new_connection):
            outcome = Refusal(RefusalKind.OTHER_LIFE)
        self._settle_lease(host, context.order, outcome)
        if host.born_ms != context.born_ms:
            self._handle_former_answer(host, context.order, outcome)
            return
        if context.order is host.probe:
            host.probe = None
        elif isinstance(context.order, Look):
            host.is_poll_pending = False
            host.next_poll_ms = self._term.now_ms + POLL_INTERVAL_MS
        sign = self._confirmed_sign(host, context, outcome)
        if sign is not None:
            host.next_poll_ms = self._term.now_ms + POLL_RETRY_MS
            self._apply_end(host, sign)
            return
        match outcome:
            case NoAnswer():
                self._handle_no_answer(host, context, outcome)
                return
            case Refusal(kind=RefusalKind.FENCED):
                self._term.actions.append(StepDown(f"fenced by {host.executor_id}"))
                return
            case Refusal(kind=RefusalKind.OTHER_LIFE):
                self._handle_other_life(host, context)
                return
            case HostReport():
                self._read_clock(host, context, outcome.clock_ms)
                self._handle_report(host, context, outcome)
                return
        self._read_clock(host, context, outcome.clock_ms)
        self._send_waiting_starts(host)
        self._record_answer(host, context.sent_ms)
        run = self._find_run(host, context.order)
        if run is not None:
            self._handle_order_answer(host, run, context.order, outcome)
        elif isinstance(context.order, Start) and isinstance(outcome, Done):
            # The run was given up and has begun all the same.
            self._refuse_start(host, context.order)

    def _settle_lease(self, host: Host, order: Order, outcome: OrderOutcome) -> None:
        """Count the lease of an answered order, and drop that of an order not sent."""
        if not isinstance(order, Look | Start):
            return
        if isinstance(outcome, NoAnswer):
            if not outcome.was_sent:
                host.lease.withdraw(order)
        elif isinstance(outcome, Refusal) and outcome.kind in _WITHOUT_LEASE:
            host.lease.withdraw(order)
        else:
            host.lease.settle(order, outcome.clock_ms, self._term.now_ms)

    def _read_clock(self, host: Host, context: OrderContext, clock_ms: int) -> None:
        """Read the clock in an answer, 0 without one, and log a wrong estimate."""
        now_ms = self._term.now_ms
        if not clock_ms:
            return
        lead_ms = host.lease.reading.lead_ms(clock_ms, context.sent_ms, now_ms)
        host.lease.read(clock_ms, context.sent_ms, now_ms)
        if lead_ms and host.has_answered:
            extra = {
                "executor": host.executor_id,
                "order": type(context.order).__name__,
                "ahead_ms": lead_ms,
                "runs": len(host.runs),
            }
            fields = host.lease.describe(now_ms)
            log.info("clock estimate was ahead", extra=extra | fields)

    def _confirmed_sign(
        self, host: Host, context: OrderContext, outcome: OrderOutcome
    ) -> Sign | None:
        """Return the sign of an executor's end that an outcome confirms, if any.

        It confirms none if the executor itself has answered a later order.
        """
        is_overtaken = host.answered_sent_ms >= context.sent_ms
        if is_overtaken or not context.is_on_new_connection:
            return None
        return confirmed_sign(host.doubt, outcome, host.answered_sent_ms)

    def _handle_other_life(self, host: Host, context: OrderContext) -> None:
        """Apply that another executor has refused an order for a host.

        It has received the order in the place of the host, so a start has no effect.
        """
        run = self._find_run(host, context.order)
        if run is not None and isinstance(context.order, Start):
            host.remove(run, self._term.now_ms)
            self._handler.handle_lost_run(host, run, "start refused: other_life")
        host.avoid_open_connections(self._term.now_ms)
        if host.answered_sent_ms < context.sent_ms:
            self.doubt(host, Sign.OTHER_LIFE)

    def _record_answer(self, host: Host, sent_ms: int) -> None:
        """Apply that an executor has answered an order sent at `sent_ms`."""
        had_doubt, was_answering = host.doubt is not None, host.is_answering
        host.record_answer(sent_ms)
        if not was_answering:
            self._refuse_late_starts(host)
        if had_doubt and host.doubt is None:
            extra = {"executor": host.executor_id, "runs": len(host.runs)}
            log.info("host answers after all", extra=extra)

    def _handle_former_answer(
        self, host: Host, order: Order, outcome: OrderOutcome
    ) -> None:
        """Apply the answer to an order for an earlier incarnation of a host.

        Either incarnation may have answered. The answer to a start tells whether the
        order can still arrive; the next report shows whether the run is there. Other
        answers say nothing about this incarnation.
        """
        run = self._find_run(host, order)
        if run is None or not isinstance(order, Start):
            return
        if isinstance(outcome, NoAnswer):
            self._handle_unanswered_start(host, run, outcome)
        elif isinstance(outcome, Done | Refusal):
            self._handle_start_answer(host, run, order, outcome)

    def _handle_order_answer(
        self, host: Host, run: Run, order: Order, outcome: Done | Refusal
    ) -> None:
        if isinstance(order, Stop):
            # From the first answer on, the host refuses the run's start. A repetition
            # proves nothing more, and polls may take longer than its interval.
            if isinstance(outcome, Done) and not run.is_stop_answered:
                run.is_stop_answered = True
                run.counted_ms = self._term.now_ms
        elif isinstance(order, Start):
            self._handle_start_answer(host, run, order, outcome)

    def _handle_start_answer(
        self, host: Host, run: Run, order: Start, outcome: Done | Refusal
    ) -> None:
        run.counted_ms = self._term.now_ms
        if isinstance(outcome, Done):
            if run.phase in (RunPhase.STARTING, RunPhase.UNSETTLED):
                run.phase = RunPhase.RUNNING
                run.started_ms = run.moved_ms = self._term.now_ms
                self._handler.handle_begun_run(run)
                if not run.is_wanted:
                    self.stop(run)
            host.next_poll_ms = min(host.next_poll_ms, self._term.now_ms)
            host.record_answered_start(run.ordered_ms, self._term.now_ms)
            return
        extra = {
            "executor": host.executor_id,
            "job": run.subtask.job_id,
            "refusal": outcome.kind.value,
            "clock_ms": outcome.clock_ms,
        }
        log.info("start refused", extra=extra)
        if outcome.kind in (RefusalKind.UNHEALTHY, RefusalKind.MALFORMED):
            host.set_aside(self._term.now_ms)
        if outcome.kind is RefusalKind.TICKET:
            self._handler.handle_refused_ticket(host, order)
        host.remove(run, self._term.now_ms)
        self._handler.handle_lost_run(host, run, f"start refused: {outcome.kind.value}")

    def _handle_no_answer(
        self, host: Host, context: OrderContext, no_answer: NoAnswer
    ) -> None:
        now_ms = self._term.now_ms
        if self._may_lose(host, context.order):
            host.has_lost_poll = True
            host.next_poll_ms = now_ms
            return
        host.record_no_answer(now_ms)
        if isinstance(context.order, Look):
            host.next_poll_ms = now_ms + POLL_RETRY_MS
        else:
            # An immediate poll shows soon whether the host still answers.
            host.next_poll_ms = min(host.next_poll_ms, now_ms)
        if host.unanswered == 1:
            extra = {
                "executor": host.executor_id,
                "order": type(context.order).__name__,
                "detail": no_answer.detail,
                "last_answer_ms": now_ms - host.clock_read_ms,
            }
            log.info("host did not answer", extra=extra)
        run = self._find_run(host, context.order)
        if run is not None and isinstance(context.order, Start):
            self._handle_unanswered_start(host, run, no_answer)
        self._drop_waiting_starts(host)

    def _may_lose(self, host: Host, order: Order) -> bool:
        """Return whether a lost order is no sign yet that a host does not answer.

        That holds for a poll that an idle host held open: a short one follows at once.
        Other idle hosts are hardly polled, and stay usable beside lost orders.
        """
        is_held = isinstance(order, Look) and order.wait_ms > 0
        is_idle = not host.runs and not host.unanswered
        return is_held and is_idle

    def _is_clock_known(self, host: Host) -> bool:
        """Return whether a start may give a lease by the last reading of the clock."""
        now_ms = self._term.now_ms
        if host.waiting_starts:
            return False
        if host.is_poll_pending:
            return host.lease.may_extend(now_ms)
        return host.lease.may_begin(now_ms)

    def _drop_waiting_starts(self, host: Host) -> None:
        for key in [*host.waiting_starts]:
            self._drop_start(host, host.runs[key])

    def _drop_start(self, host: Host, run: Run) -> None:
        host.remove(run, self._term.now_ms)
        self._handler.handle_lost_run(host, run, "the start order was not sent")

    def _send_start(self, host: Host, order: Start) -> None:
        now_ms = self._term.now_ms
        order = replace(order, until_ms=host.lease.until_ms(now_ms))
        host.lease.extend(order, now_ms)
        self._send(host, order, ORDER_TIMEOUT_MS)

    def _send_waiting_starts(self, host: Host) -> None:
        """Send the starts that wait for a reading of the host's clock."""
        if host.is_cordoned or host.registration.is_draining:
            self._drop_waiting_starts(host)
        if host.lease.may_extend(self._term.now_ms):
            orders, host.waiting_starts = host.waiting_starts, {}
            for order in orders.values():
                self._send_start(host, order)

    def _handle_unanswered_start(
        self, host: Host, run: Run, no_answer: NoAnswer
    ) -> None:
        if not no_answer.was_sent:
            self._drop_start(host, run)
        elif run.phase is RunPhase.STARTING:
            run.phase = RunPhase.UNSETTLED
            run.counted_ms = self._term.now_ms

    def _handle_report(
        self, host: Host, context: OrderContext, report: HostReport
    ) -> None:
        if report.born_ms and host.born_ms and report.born_ms != host.born_ms:
            registration = replace(host.registration, born_ms=report.born_ms)
            host = self._replace_incarnation(host, registration)
            # Only its own entry tells its kind and resources.
            host.unregister()
            self._read_clock(host, context, report.clock_ms)
        if host.unanswered:
            log.info("host answers again", extra={"executor": host.executor_id})
        if not host.has_answered:
            self.unknown_runs.record_report(host, report.has_all_ends)
        self._record_answer(host, context.sent_ms)
        host.record_report(report.has_all_ends, context.sent_ms, self._term.now_ms)
        for ended in report.ended:
            if ended.number > host.last_end:
                host.last_end = ended.number
                if self._handler.handle_end(host, ended):
                    run_key = ended.subtask, ended.attempt
                    host.unstored_ends[ended.number] = run_key
        host.advance_confirmed()
        listed = {(row.subtask, row.attempt) for row in report.running}
        for row in report.running:
            known = host.runs.get((row.subtask, row.attempt))
            if known is None:
                self._handler.adopt(host, row)
            else:
                self._update_running(host, known, row)
        self._handler.handle_loads(host)
        # The end of an unlisted run may be among those that the report leaves out.
        if report.has_all_ends:
            for run in [*host.runs.values()]:
                if run.key not in listed and context.sent_ms > run.counted_ms:
                    self._handle_unlisted(host, run)
        self._send_waiting_starts(host)
        self._remove_if_empty(host)

    def _update_running(self, host: Host, run: Run, row: RunningRow) -> None:
        run.is_listed = True
        if run.phase is RunPhase.UNSETTLED:
            # The start may have come late, from a predecessor or to another life.
            host.lease.assume(is_settled_life=False, now_ms=self._term.now_ms)
        if run.phase in (RunPhase.STARTING, RunPhase.UNSETTLED):
            run.phase = RunPhase.RUNNING if run.is_wanted else RunPhase.STOPPING
            run.started_ms = run.moved_ms = self._term.now_ms
            self._handler.handle_begun_run(run)
        if row.percent != run.percent:
            run.percent = row.percent
            run.moved_ms = self._term.now_ms
        run.load = row.load

    def _handle_unlisted(self, host: Host, run: Run) -> None:
        """Handle that a poll sent after the run's last order does not list the run."""
        if run.phase is RunPhase.STARTING:
            return
        if run.phase is RunPhase.UNSETTLED and not run.is_stop_answered:
            # The start may still arrive; after a stop, the host refuses it.
            if self._term.now_ms - run.stop_ms >= STOP_RETRY_MS:
                self._send_stop(host, run)
            return
        host.remove(run, self._term.now_ms)
        self._handler.handle_lost_run(host, run, "the host does not list it")

    def _retry_stop_if_due(self, host: Host, run: Run) -> None:
        """Repeat a stop that had no effect, if its interval has passed.

        An answered stop has no effect if the host lists the run for longer than a stop
        may take.
        """
        interval_ms = STOP_RETRY_MS
        if run.is_stop_answered:
            interval_ms += self._term.times.stop_ms
        is_due = self._term.now_ms - run.stop_ms >= interval_ms
        if is_due and not host.unanswered:
            self._send_stop(host, run)

    def _send_stop(self, host: Host, run: Run) -> None:
        if run.first_stop_ms:
            extra = {
                "job": run.subtask.job_id,
                "step": run.subtask.step,
                "index": run.subtask.index,
                "executor": host.executor_id,
                "attempt": run.attempt,
                "phase": run.phase.value,
                "since_ms": self._term.now_ms - run.first_stop_ms,
            }
            log.info("stop repeated", extra=extra)
        run.first_stop_ms = run.first_stop_ms or self._term.now_ms
        run.stop_ms = self._term.now_ms
        order = Stop(run.subtask, run.attempt, self._term.token)
        self._send(host, order, ORDER_TIMEOUT_MS)

    def _poll_if_needed(self, host: Host) -> None:
        now_ms = self._term.now_ms
        is_clock_old = now_ms - host.clock_read_ms >= IDLE_POLL_INTERVAL_MS
        # A restart breaks off a pending poll, so that the next life is told early to
        # refuse a start that may come late.
        is_watched = host.runs or host.lease.unanswered_starts
        is_needed = (
            not host.has_answered
            or is_watched
            or not host.is_answering
            or host.confirmed > host.acknowledged
            or (is_clock_old and host.is_registered)
        )
        if not is_needed:
            return
        # A start that waits for a reading needs an answer at once, and gives no lease.
        is_extending = (
            host.lease.may_extend(now_ms)
            and host.is_answering
            and not host.waiting_starts
        )
        # The first answer must not wait for an end: the host may be needed.
        is_waiting = (
            is_watched and host.has_answered and is_extending and not host.has_lost_poll
        )
        wait_ms = POLL_WAIT_MS if is_waiting else 0
        if wait_ms and not host.runs:
            wait_ms = WATCH_POLL_WAIT_MS
        if wait_ms and host.has_fillers:
            wait_ms = FILLER_POLL_WAIT_MS
        until_ms = 0
        # A host whose answers are lost may still receive the poll. Extending its lease
        # would delay the time at which its runs count as ended.
        if host.runs and is_extending:
            until_ms = host.lease.until_ms(now_ms)
        host.is_poll_pending = True
        confirmed = host.confirmable(now_ms)
        host.acknowledged = max(host.acknowledged, confirmed)
        look = Look(self._term.token, confirmed, until_ms, wait_ms)
        if until_ms:
            host.lease.extend(look, now_ms)
        self._send(host, look, ORDER_TIMEOUT_MS + wait_ms)

    def _send(self, host: Host, order: Order, timeout_ms: int) -> None:
        now_ms = self._term.now_ms
        is_on_new_connection = host.needs_new_connection(now_ms)
        context = OrderContext(
            host.executor_id, host.born_ms, order, now_ms, is_on_new_connection
        )
        action = SendOrder(host.registration.address, context, timeout_ms)
        self._term.actions.append(action)

    def _find_run(self, host: Host, order: Order) -> Run | None:
        if isinstance(order, Start | Stop):
            return host.runs.get((order.subtask, order.attempt))
        return None

    def _is_lease_expired(self, host: Host) -> bool:
        """Return whether the runs on an unresponsive host have certainly ended.

        While the store cannot be reached, another scheduler may extend their lease.
        """
        if host.is_answering or not host.runs or self._term.is_unconfirmed:
            return False
        is_expired = self._term.now_ms > host.lease_end_ms
        return is_expired and not self._may_start_late(host)

    def _may_start_late(self, host: Host) -> bool:
        """Return whether a later life of a silent executor may carry out a start.

        The registry shows within seconds that the executor has ended, or is in the life
        to which the start was sent.
        """
        sent_ms = host.lease.unanswered_start_ms
        is_settled = not host.is_registered or host.renewed_ms > sent_ms
        if not sent_ms or is_settled:
            return False
        return self._term.now_ms <= host.lease.late_end_ms(sent_ms)

    def _remove_runs(self, host: Host, runs: list[Run], reason: str) -> None:
        for run in runs:
            host.remove(run, self._term.now_ms)
            self._handler.handle_lost_run(host, run, reason)

    def _remove_if_empty(self, host: Host) -> None:
        is_settled = host.has_answered or self._term.now_ms >= self._term.resolve_by_ms
        is_empty = not host.runs and not self.unknown_runs.may_hide_ends(host)
        if not host.is_registered and is_empty and is_settled:
            self._delete(host)

    def _delete(self, host: Host) -> None:
        if self.by_id.get(host.executor_id) is host:
            del self.by_id[host.executor_id]
            host.mark_removed()
            self.unknown_runs.forget(host)
            now_ms = self._term.now_ms
            leases = {**self._former_leases, host.executor_id: host.lease}
            self._former_leases = {
                name: lease
                for name, lease in leases.items()
                if lease.matters_until_ms >= now_ms
            }
