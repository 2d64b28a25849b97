"""The scheduler as a state machine: events in, actions out, no input or output."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from guavapin.executors.model import EndKind
from guavapin.jobs.model import JobState
from guavapin.jobs.model import Resources
from guavapin.ledger.ledger import Entry
from guavapin.scheduling.arrivals import Arrivals
from guavapin.scheduling.backlog import BacklogRule
from guavapin.scheduling.backlog import OpenWork
from guavapin.scheduling.dispatcher import Dispatcher
from guavapin.scheduling.end_evidence import Sign
from guavapin.scheduling.handover import HANDOVER_KEY
from guavapin.scheduling.handover import RemovalStored
from guavapin.scheduling.held_work import HeldWork
from guavapin.scheduling.host_table import HostTable
from guavapin.scheduling.inherited_runs import InheritedRuns
from guavapin.scheduling.interference_evidence import InterferenceEvidence
from guavapin.scheduling.job_table import EndStored
from guavapin.scheduling.job_table import JobTable
from guavapin.scheduling.lateness import TurnQueue
from guavapin.scheduling.learned_times import LearnedTimes
from guavapin.scheduling.messages import StoreEntry
from guavapin.scheduling.neighbour_preference import NeighbourPreference
from guavapin.scheduling.organisation_admission import OrganisationAdmission
from guavapin.scheduling.pool_demand import DemandTable
from guavapin.scheduling.pool_gate import PoolGate
from guavapin.scheduling.pool_load import TermLoad
from guavapin.scheduling.pool_load import open_work
from guavapin.scheduling.pool_load import subtask_work
from guavapin.scheduling.queue_rules import QueueRules
from guavapin.scheduling.run import LostRun
from guavapin.scheduling.run_pools import RunPoolsStored
from guavapin.scheduling.run_supervisor import RunSupervisor
from guavapin.scheduling.run_times import RunTimes
from guavapin.scheduling.tickets import apply_advice
from guavapin.scheduling.tickets import handle_refused_ticket
from guavapin.scheduling.unservable import UnservableRule

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavapin.executors.model import EndedRow
    from guavapin.executors.model import RunningRow
    from guavapin.executors.model import Start
    from guavapin.jobs.model import Subtask
    from guavapin.scheduling.cap_rule import CapRule
    from guavapin.scheduling.handover import HandedHost
    from guavapin.scheduling.host import Host
    from guavapin.scheduling.job_run import JobRun
    from guavapin.scheduling.messages import AdviceReply
    from guavapin.scheduling.messages import MachinesListed
    from guavapin.scheduling.messages import PoolDemand
    from guavapin.scheduling.organisation_share import OrganisationShares
    from guavapin.scheduling.run import Run
    from guavapin.scheduling.step_run import StepRun
    from guavapin.scheduling.term import Term

_NO_RESOURCES = Resources()

# Interval of the supervision of runs. The conditions that it detects last for at least
# half a second.
SUPERVISION_INTERVAL_MS = 200

# Delay before a removal of the handover record that the store has refused is repeated.
REMOVAL_RETRY_MS = 500

log = logging.getLogger("guavapin.scheduling")


class Scheduler:
    """State of one term; the caller sets `term.now_ms` before each event.

    `jobs` and `hosts` hold the two tables. This class holds the decisions that need
    both of them: which subtasks wait, on which host they start, and how the end of a
    run changes its job.
    """

    def __init__(self, term: Term) -> None:
        self.term = term
        self.hosts = HostTable(term, self)
        self.run_times = RunTimes()
        self._rules = QueueRules(term)
        self.organisation_admission = OrganisationAdmission(
            term, self.hosts.usage, self._rules, self.run_times.work
        )
        self.learned_times = LearnedTimes()
        self._work = OpenWork()
        load = TermLoad(term, self.hosts, self._rules, self.learned_times, self._work)
        rules = (
            self.organisation_admission,
            UnservableRule(self.hosts.unknown_runs.machine_shapes),
            BacklogRule(load),
        )
        self.jobs = JobTable(term, self, rules)
        self._inherited = InheritedRuns(
            term, self.hosts, self._find_step, self.jobs.ended_organisation
        )
        self.arrivals = Arrivals()
        # Open steps that are not done, in order of their opening.
        self.steps: dict[StepRun, None] = {}
        self.interference = InterferenceEvidence(self.step_of)
        self.preference = NeighbourPreference(term, self.interference.table)
        self.pool_gate = PoolGate(self.hosts, self._rules, self.jobs)
        self._dispatcher = Dispatcher(
            term, self.hosts, self._rules, self.pool_gate, self.preference
        )
        self.cap_rule: CapRule = self._dispatcher.starter.caps
        self._supervisor = RunSupervisor(term, self.hosts, self, self.preference)
        self.held_work = HeldWork(self)
        self._demand = DemandTable(self._rules)
        self._turns = TurnQueue()
        self._opened_count = 0
        self._repeating: dict[str, JobRun] = {}
        self._next_supervision_ms = 0
        self._needs_dispatch = True
        # Unset until the record of the predecessor is removed.
        self._is_start_allowed = True
        # Time of the next removal after a refused one, 0 without one.
        self._next_removal_ms = 0

    def tick(self) -> None:
        """Poll hosts, open due steps of repeating jobs and supervise runs."""
        self.hosts.tick()
        if 0 < self._next_removal_ms <= self.term.now_ms:
            self._remove_handover()
        for job_run in [*self._repeating.values()]:
            self._open_steps(job_run)
        for step_run in self._turns.pop_due(self.term.now_ms, self._is_waiting):
            self._dispatcher.discard(step_run)
            step_run.turn_ms = self.term.now_ms
            self._dispatcher.add(step_run)
        if self.term.now_ms >= self._next_supervision_ms:
            self._next_supervision_ms = self.term.now_ms + SUPERVISION_INTERVAL_MS
            for host in [*self.hosts.by_id.values()]:
                if host.runs:
                    self._supervisor.supervise(host)
            self.interference.judge(self.term.now_ms)
            self.held_work.check(self.term.now_ms)
        self._needs_dispatch = True

    def pool_of(self, job_run: JobRun) -> str:
        """Return the pool of the job's queue, or of the job if the queue is gone."""
        return self._rules.pool_of_job(job_run)

    def pool_demands(self) -> tuple[PoolDemand, ...]:
        """Return the demand of each pool that has open steps."""
        now_ms = self.term.now_ms
        self._demand.update(self.steps, self.term.table)
        demands = self._demand.demands(
            self.pool_gate.unresolved(),
            lambda pool: self.arrivals.cpu_millis(pool, now_ms),
            self.run_times.expected_queue_ms,
            now_ms,
        )
        return tuple(demands)

    @property
    def is_start_allowed(self) -> bool:
        """Whether the record of the predecessor is removed, so that work may start."""
        return self._is_start_allowed

    @property
    def dispatcher(self) -> Dispatcher:
        """Return the order of the waiting steps, for explanations."""
        return self._dispatcher

    @property
    def rules(self) -> QueueRules:
        """Return the rules of the queue table, for explanations."""
        return self._rules

    @property
    def needs_dispatch(self) -> bool:
        """Whether a change since the last dispatch may allow a subtask to start."""
        return self._needs_dispatch and self._is_start_allowed

    def dispatch(self) -> None:
        """Start the waiting subtasks that fit on a host, if a change may allow it."""
        if self._needs_dispatch and self._is_start_allowed:
            self._needs_dispatch = False
            self._dispatcher.dispatch()

    def cordon(self, executor_ids: frozenset[str], urgent: frozenset[str]) -> None:
        """Start nothing on these hosts and evacuate them, `urgent` ones at once."""
        for host in self.hosts.by_id.values():
            host.cordon(host.executor_id in executor_ids)
            if host.is_cordoned:
                self._supervisor.evacuate(host, host.executor_id in urgent)
        self._needs_dispatch = True

    def job_opened(self, job_run: JobRun) -> None:
        """Open the steps of a job that may run, and count its work as arrived."""
        if job_run.is_inherited and job_run.job.organisation:
            self.hosts.usage.inherit(job_run)
        self.organisation_admission.open(job_run.job)
        if job_run.job.repeats:
            self._repeating[job_run.job.job_id] = job_run
        elif not job_run.is_inherited:
            work = self.run_times.work(job_run.job)
            if work:
                self.arrivals.record(self.term.now_ms, self.pool_of(job_run), work)
        job_run.expect(self.learned_times.expected_steps_ms(job_run.job))
        self._work.add(
            job_run.job.job_id,
            self.pool_of(job_run),
            self._rules.terms_of(job_run).priority,
            open_work(job_run, self.learned_times),
        )
        self._open_steps(job_run)
        self._finish_if_complete(job_run)

    def ended_job_loaded(
        self, job_id: str, organisation: str, running: Resources
    ) -> None:
        """Count what may still run of a job that ended before this term."""
        self.hosts.usage.inherit_ended(job_id, organisation, running)

    def job_closed(self, job_run: JobRun) -> None:
        """Stop all runs of a job."""
        self._repeating.pop(job_run.job.job_id, None)
        self.organisation_admission.close(job_run.job.job_id)
        self._work.remove(job_run.job.job_id)
        for step_run in job_run.steps.values():
            self._close_step(step_run)
            for runs in [*step_run.runs.values()]:
                for run in [*runs]:
                    self.hosts.stop(run)
        self._needs_dispatch = True

    def start_copy(self, step_run: StepRun, index: int) -> None:
        """Start a subtask once more as soon as a host has room for it."""
        if step_run in self.steps:
            step_run.add_waiting(index)
            self._dispatcher.add(step_run)
            self._needs_dispatch = True

    def adopt(self, host: Host, row: RunningRow) -> None:
        """Adopt a run that an earlier scheduler started, or stop it if not needed."""
        self._inherited.adopt(host, row)

    def apply_handover(self, handed_hosts: Iterable[HandedHost] | None) -> None:
        """Reserve what a predecessor handed over, until the hosts answer.

        Nothing starts before the record is removed: it does not hold what this term
        starts. `handed_hosts` is None for a record that cannot be read.
        """
        self._inherited.reserve(handed_hosts or ())
        self._is_start_allowed = False
        self._remove_handover()

    def handle_end(self, host: Host, row: EndedRow) -> bool:
        """Apply the end of a run; True if it must be stored before it is confirmed."""
        self._needs_dispatch = True
        run = host.runs.get((row.subtask, row.attempt))
        step_run = self.step_of(row)
        if run is not None:
            host.remove(run, self.term.now_ms)
            # The start of a run of an earlier term is not known here.
            is_own = row.attempt >= self.term.next_attempt(0)
            is_timed = is_own and row.kind is EndKind.DONE
            self.interference.record_end(
                host, run, step_run, is_timed, self.term.now_ms
            )
            if step_run is not None:
                self._remove_run(step_run, run)
        if step_run is None or step_run.job_run.state.is_final:
            extra = {
                "job": row.subtask.job_id,
                "step": row.subtask.step,
                "index": row.subtask.index,
                "executor": host.executor_id,
                "attempt": row.attempt,
                "end": row.kind.value,
            }
            log.info("run of an ended job ended", extra=extra)
        if step_run is None or step_run.job_run.visible_state.is_final:
            return False
        tag = EndStored(host.executor_id, host.born_ms, row.number)
        if step_run.job_run.state.is_final:
            # Until the job's final state is stored, a successor would start the
            # subtask again.
            self.jobs.store_progress(step_run.job_run, tag)
            return True
        index = row.subtask.index
        last = step_run.last_attempt.get(index, 0)
        step_run.last_attempt[index] = max(last, row.attempt)
        # The end may be the first that is known of a run whose start was not answered.
        step_run.job_run.mark_started()
        step_run.record_saved(index, row.saved)
        if run is None:
            self.hosts.usage.mark_seen(row.subtask)
        extra = {
            "job": row.subtask.job_id,
            "step": row.subtask.step,
            "index": index,
            "executor": host.executor_id,
            "attempt": row.attempt,
            "end": row.kind.value,
            "after_ms": self.term.now_ms - run.started_ms if run is not None else -1,
        }
        log.info("run ended", extra=extra)
        if row.kind is EndKind.DONE and not step_run.step.is_long_running:
            if run is not None:
                host.record_success(run.ordered_ms, self.term.now_ms)
                run_ms = self.term.now_ms - run.started_ms
                self._record_run_time(step_run, run_ms)
            self._handle_done(step_run, index)
        elif row.kind is EndKind.FAILED:
            self._handle_failure(host, step_run, row, run)
        elif not row.saved:
            return False
        self.jobs.store_progress(step_run.job_run, tag)
        self._finish_if_complete(step_run.job_run)
        return True

    def handle_begun_run(self, run: Run) -> None:
        """Show the job of a run as running."""
        step_run = self.step_of(run)
        if step_run is not None:
            step_run.job_run.mark_started()

    def handle_loads(self, host: Host) -> None:
        """Learn from the loads of a host's runs, which a report has just updated."""
        self.interference.record_report(host, self.term.now_ms)

    def handle_lost_run(self, host: Host, run: Run, reason: str) -> None:
        """Remove a run that is gone without an end, so that its subtask waits again."""
        self._needs_dispatch = True
        step_run = self.step_of(run)
        now_ms = self.term.now_ms
        extra = {
            "job": run.subtask.job_id,
            "step": run.subtask.step,
            "index": run.subtask.index,
            "executor": host.executor_id,
            "attempt": run.attempt,
            "phase": run.phase.value,
            "ordered_ms": now_ms - run.ordered_ms,
            "reason": reason,
        }
        log.info("run lost", extra=extra)
        if step_run is not None:
            step_run.lost[run.subtask.index] = LostRun(
                run.attempt, host.executor_id, reason, run.ordered_ms, now_ms
            )
            self._remove_run(step_run, run)

    def handle_refused_ticket(self, host: Host, start: Start) -> None:
        """Drop the ticket of a start, which a host has refused as invalid."""
        step_run = self._find_step(start.subtask)
        if step_run is not None:
            handle_refused_ticket(step_run, host, start, self.term.now_ms)

    def apply_machines(self, listed: MachinesListed) -> None:
        """Apply the platform's list, and doubt executors that it no longer shows."""
        capacities = dict(
            zip((row[0] for row in listed.pools), listed.capacities, strict=False)
        )
        self.hosts.apply_listed_pools(
            dict(listed.pools), capacities, listed.off, listed.requested_ms
        )
        for sign, executor_ids in (
            (Sign.NOT_LISTED, listed.ended),
            (Sign.MISSING, listed.missing),
        ):
            for executor_id in executor_ids:
                self.hosts.handle_unlisted(executor_id, sign, listed.requested_ms)
        self.hosts.apply_list_age()
        self._needs_dispatch = True

    def apply_advice(self, reply: AdviceReply) -> None:
        """Apply the adviser's reply to the step that it was requested for."""
        step_run = self._find_step(reply.request.step)
        if step_run is None:
            return
        advice = self._rules.terms_of(step_run.job_run).advice
        if advice is not None:
            apply_advice(step_run, reply, advice, self.term.now_ms)
            self._needs_dispatch = True

    def handle_stored(self, tag: object) -> None:
        """Confirm the end, or update the job, whose entry with `tag` is stored."""
        if isinstance(tag, EndStored):
            host = self.hosts.by_id.get(tag.executor_id)
            if host is not None and host.born_ms == tag.born_ms:
                host.unstored_ends.pop(tag.number, None)
                host.advance_confirmed()
        elif isinstance(tag, RemovalStored):
            self._is_start_allowed = self._needs_dispatch = True
        elif isinstance(tag, RunPoolsStored):
            job_run = self.jobs.by_id.get(tag.job_id)
            if job_run is not None:
                job_run.run_pools = job_run.run_pools.confirm(tag.version)
                self._needs_dispatch = True
        else:
            self.jobs.handle_durable(tag)

    def handle_refused(self, entry: Entry, may_be_stored: bool) -> None:
        """Apply that the store refuses an entry, which is not written any more.

        The removal of the predecessor's record is repeated, since nothing may start
        before it.
        """
        if entry.key == HANDOVER_KEY:
            self._next_removal_ms = self.term.now_ms + REMOVAL_RETRY_MS
        else:
            self.jobs.handle_refused(entry, may_be_stored)

    @property
    def shares(self) -> OrganisationShares:
        """Return the weighted shares as of the last dispatch."""
        return self._dispatcher.shares

    @property
    def held_organisations(self) -> frozenset[str]:
        """Return the organisations whose cap holds steps at present."""
        return self._dispatcher.held_organisations

    def objective_ms(self, job_run: JobRun) -> float:
        """Return the monotonic time, in ms, by which a job should have succeeded."""
        return self._rules.objective_ms(job_run)

    def _remove_handover(self) -> None:
        self._next_removal_ms = 0
        entry = Entry(HANDOVER_KEY, None, (RemovalStored(),))
        self.term.actions.append(StoreEntry(entry, is_urgent=True))

    def _handle_done(self, step_run: StepRun, index: int) -> None:
        before = len(step_run.done)
        step_run.mark_done(index)
        self._work.complete(
            step_run.job_run.job.job_id,
            (len(step_run.done) - before)
            * subtask_work(step_run.job_run, step_run.key[1], self.learned_times),
            self.term.now_ms,
        )
        if not step_run.step.is_gang:
            for run in step_run.wanted_runs(index):
                self.hosts.stop(run)
        if step_run.is_done:
            self._close_step(step_run)
            step_run.job_run.done_steps.add(step_run.key)
            self._open_steps(step_run.job_run)

    def _handle_failure(
        self, host: Host, step_run: StepRun, row: EndedRow, run: Run | None
    ) -> None:
        index = row.subtask.index
        if step_run.step.is_long_running:
            step_run.delay_restart(index, self.term.now_ms)
            return
        if index in step_run.done:
            return
        count = step_run.record_failure(index, row.attempt)
        # A subtask that has failed elsewhere says little of the host, except on trial.
        is_sign = count == 1 or host.health.is_on_trial
        if (
            run is not None
            and is_sign
            and host.record_failure(run.ordered_ms, self.term.now_ms)
        ):
            extra = {
                "executor": host.executor_id,
                "avoidances": host.health.avoidances,
                "until_ms": host.set_aside_until_ms - self.term.now_ms,
            }
            log.info("host set aside", extra=extra)
        if count >= self._rules.terms_of(step_run.job_run).attempts:
            self.jobs.close(step_run.job_run, JobState.FAILED)

    def _open_steps(self, job_run: JobRun) -> None:
        for step_run in job_run.open_steps(self.term.wall_ms):
            self._opened_count += 1
            step_run.number = self._opened_count
            if not step_run.is_done:
                self.steps[step_run] = None
                self._dispatcher.add(step_run)
                self._schedule_turn(step_run)
            self._needs_dispatch = True

    def _schedule_turn(self, step_run: StepRun) -> None:
        """Let a step have a turn when it is late; long-running ones never are."""
        if not step_run.step.is_long_running:
            turn_ms = self._rules.work_times(step_run).turn_ms
            self._turns.add(self._rules.pool_of(step_run), step_run, turn_ms)

    def _is_waiting(self, step_run: StepRun) -> bool:
        return step_run in self.steps and bool(step_run.waiting)

    def _record_run_time(self, step_run: StepRun, run_ms: int) -> None:
        queue, step = step_run.job_run.job.queue, step_run.step
        self.run_times.record(queue, run_ms)
        # A filler runs at the pace that its neighbours leave it.
        if not step.is_filler:
            number = step_run.key[1]
            self.learned_times.record(queue, number, step.estimate_ms, run_ms)

    def _close_step(self, step_run: StepRun) -> None:
        self.steps.pop(step_run, None)
        self._dispatcher.discard(step_run)

    def _remove_run(self, step_run: StepRun, run: Run) -> None:
        """Remove a run from its step, whose subtask may wait again."""
        step_run.remove(run.subtask.index, run)
        job_run = step_run.job_run
        if job_run.state.is_final:
            self.jobs.handle_run_of_ended_job_removed(job_run)
        if step_run in self.steps:
            self._dispatcher.add(step_run)

    def _finish_if_complete(self, job_run: JobRun) -> None:
        if job_run.is_complete and not job_run.state.is_final:
            self.jobs.close(job_run, JobState.SUCCEEDED)

    def step_of(self, row: RunningRow | EndedRow | Run) -> StepRun | None:
        return self._find_step(row.subtask)

    def _find_step(self, subtask: Subtask) -> StepRun | None:
        job_run = self.jobs.by_id.get(subtask.job_id)
        if job_run is None:
            return None
        step_run = job_run.step_run((subtask.occurrence, subtask.step))
        if step_run is None or not 0 <= subtask.index < step_run.step.count:
            return None
        return step_run
