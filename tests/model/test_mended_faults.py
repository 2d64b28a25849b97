"""The model of takeovers finds each mended fault when it is put back in."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from guavapin.executors.model import Start
from guavapin.machines.order_record import OrderRecord
from guavapin.machines.task import CALL_TIMEOUT_MS
from guavapin.machines.task import MachinesTask
from guavapin.platform.bodies import encode_body
from guavapin.scheduling.end_evidence import UNLISTED_SIGNS
from guavapin.scheduling.end_evidence import Sign
from guavapin.scheduling.handover import collect_hosts
from guavapin.scheduling.host_table import HostTable
from guavapin.scheduling.job_table import JobTable
from guavapin.scheduling.record import CANCELLED_SUFFIX
from guavapin.scheduling.run import Run
from guavapin.scheduling.run import RunPhase
from guavapin.scheduling.scheduler import Scheduler
from guavapin.scheduling.task import SchedulerTask
from guavapin.scheduling.term_loader import TermLoader
from guavapin.scheduling.unknown_runs import UnknownRuns
from guavapin.scheduling.unresolved_executors import UnresolvedExecutors
from tests.model.cancellations import CANCEL_MS
from tests.model.cancellations import STABLE_MS
from tests.model.executors import Fleet
from tests.model.odd_entries import ENTRY
from tests.model.other_lives import play_other_lives
from tests.model.test_cancellations import EVENTS
from tests.model.test_cancellations import play_cancellations
from tests.model.test_takeover_model import play
from tests.model.world import World

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.scheduling.handover import HandedHost

# Number of seeds within which a fault must be found, from the first one of its row on.
MAX_SEEDS = 20


def count_unknown_runs_with_no_resources(patch: pytest.MonkeyPatch) -> None:
    known = property(lambda run: True, lambda run, value: None)
    patch.setattr(Run, "is_need_known", known)


def drop_changes_while_lists_are_read(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(TermLoader, "update", lambda loader, prefix, items: None)


def confirm_ends_before_they_are_stored(patch: pytest.MonkeyPatch) -> None:
    handle_end = Scheduler.handle_end

    def handle(scheduler, host, row) -> bool:
        handle_end(scheduler, host, row)
        return False

    patch.setattr(Scheduler, "handle_end", handle)


def start_inherited_jobs_at_once(patch: pytest.MonkeyPatch) -> None:
    nothing = UnresolvedExecutors()
    patch.setattr(UnknownRuns, "unresolved", lambda hosts: nothing)


def forget_starts_without_an_answer(patch: pytest.MonkeyPatch) -> None:
    handle_no_answer = HostTable._handle_no_answer

    def handle(hosts, host, context, no_answer) -> None:
        handle_no_answer(hosts, host, context, no_answer)
        run = hosts._find_run(host, context.order)
        is_unsettled = run is not None and run.phase is RunPhase.UNSETTLED
        if isinstance(context.order, Start) and is_unsettled:
            host.remove(run, hosts._term.now_ms)
            hosts._handler.handle_lost_run(host, run, "no answer")

    patch.setattr(HostTable, "_handle_no_answer", handle)


def order_machines_without_a_lease(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(MachinesTask, "_lease_left_ms", lambda task, now_ms: CALL_TIMEOUT_MS)
    # A machine is not recorded without the store, so the record hides this fault.
    patch.setattr(OrderRecord, "covers", lambda record, machine, wave=None: True)


def keep_machine_orders_in_flight(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(MachinesTask, "_lease_left_ms", lambda task, now_ms: 60_000)
    patch.setattr("guavapin.machines.task.CALL_TIMEOUT_MS", 9_000)
    patch.setattr(MachinesTask, "_abort_calls", lambda task: None)


def keep_the_runs_of_an_earlier_handover(patch: pytest.MonkeyPatch) -> None:
    apply_handover = Scheduler.apply_handover

    def apply(scheduler, handed_hosts) -> None:
        apply_handover(scheduler, handed_hosts)
        scheduler.term.actions.pop()
        scheduler._is_start_allowed = True

    patch.setattr(Scheduler, "apply_handover", apply)


def hand_over_no_unstored_ends(patch: pytest.MonkeyPatch) -> None:
    def collect(hosts) -> tuple[HandedHost, ...]:
        return tuple(
            replace(host, runs=tuple(run for run in host.runs if run.is_wanted))
            for host in collect_hosts(hosts)
        )

    patch.setattr("guavapin.scheduling.task.collect_hosts", collect)


def take_every_list_as_complete(patch: pytest.MonkeyPatch) -> None:
    handle_report = HostTable._handle_report

    def handle(hosts, host, context, report) -> None:
        handle_report(hosts, host, context, replace(report, has_all_ends=True))

    patch.setattr(HostTable, "_handle_report", handle)


def drop_cancellations_in_the_store(patch: pytest.MonkeyPatch) -> None:
    handle_marker = JobTable.handle_marker

    def handle(jobs, key) -> None:
        if not key.endswith(CANCELLED_SUFFIX):
            handle_marker(jobs, key)

    patch.setattr(JobTable, "handle_marker", handle)


def leave_unneeded_runs_that_are_adopted(patch: pytest.MonkeyPatch) -> None:
    adopt = Scheduler.adopt

    def handle(scheduler, host, row) -> None:
        with pytest.MonkeyPatch.context() as inner:
            inner.setattr(scheduler.hosts, "stop", lambda run: None)
            adopt(scheduler, host, row)

    patch.setattr(Scheduler, "adopt", handle)


def resume_a_term_without_a_list_of_the_inbox(patch: pytest.MonkeyPatch) -> None:
    handle_duty_held = SchedulerTask._handle_duty_held

    def handle(task, token) -> None:
        if token == task._token and task._scheduler is not None:
            task._unconfirmed_until_ms = 0
        else:
            handle_duty_held(task, token)

    patch.setattr(SchedulerTask, "_handle_duty_held", handle)


def end_processes_at_addresses_outside_ascii(patch: pytest.MonkeyPatch) -> None:
    patch.setattr("guavapin.platform.manifest.is_address", lambda text: True)
    send = Fleet._send

    def handle(fleet, node, order) -> None:
        # libcurl raised for such an address.
        if order.address.isascii():
            send(fleet, node, order)
        else:
            node.world.end_process(node, f"executors: {order.address!r}")

    patch.setattr(Fleet, "_send", handle)


def _end_hosts_at_once(patch: pytest.MonkeyPatch, signs: frozenset[Sign]) -> None:
    doubt = HostTable.doubt

    def handle(hosts, host, sign, *times) -> None:
        if sign in signs:
            hosts.end_incarnation(host, sign.value)
        else:
            doubt(hosts, host, sign, *times)

    patch.setattr(HostTable, "doubt", handle)


def end_hosts_that_another_life_answers_for(patch: pytest.MonkeyPatch) -> None:
    _end_hosts_at_once(patch, frozenset({Sign.OTHER_LIFE}))


def end_hosts_that_a_list_does_not_show(patch: pytest.MonkeyPatch) -> None:
    _end_hosts_at_once(patch, UNLISTED_SIGNS)


FAULTS = (
    (count_unknown_runs_with_no_resources, "LIMIT", 60),
    (drop_changes_while_lists_are_read, "LOST", 40),
    (confirm_ends_before_they_are_stored, "TWICE", 1),
    (start_inherited_jobs_at_once, "TWICE", 0),
    (forget_starts_without_an_answer, "TWICE", 60),
    (order_machines_without_a_lease, "ONE", 75),
    (keep_machine_orders_in_flight, "ONE", 5),
    (keep_the_runs_of_an_earlier_handover, "TWICE", 60),
    (hand_over_no_unstored_ends, "TWICE", 24),
)


@pytest.mark.parametrize(("fault", "rule", "first_seed"), FAULTS)
def test_a_fault_that_was_mended_is_found(
    fault: Callable[[pytest.MonkeyPatch], None],
    rule: str,
    first_seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a model that cannot find the faults it is for.
    fault(monkeypatch)
    for seed in range(first_seed, first_seed + MAX_SEEDS):
        violations = play(seed).violations
        if violations:
            print(f"seed {seed}: {violations[0]}")
            break
    assert any(rule in violation for violation in violations)


def test_lists_that_are_taken_as_complete_are_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a model of lists that are cut short which cannot find the fault.
    take_every_list_as_complete(monkeypatch)
    played = (play(seed, max_listed_ends=3) for seed in range(MAX_SEEDS))
    violations = next(world.violations for world in played if world.violations)
    assert any("TWICE" in violation for violation in violations)


@pytest.mark.parametrize(
    "fault",
    [end_hosts_that_another_life_answers_for, end_hosts_that_a_list_does_not_show],
)
def test_an_end_that_is_taken_from_another_life_is_found(
    fault: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a model in which all evidence of an end is about the present life,
    # so that it cannot find the incident: a refusal or a list ended a host at once, and
    # the starts that were under way to it ran beside those that replaced them.
    fault(monkeypatch)
    played = (play_other_lives(seed) for seed in range(MAX_SEEDS))
    violations = next((world.violations for world in played if world.violations), [])
    assert any("TWICE" in violation for violation in violations)


@pytest.mark.parametrize(
    ("fault", "rule", "events"),
    [
        (drop_cancellations_in_the_store, "UNASKED", EVENTS),
        (leave_unneeded_runs_that_are_adopted, "UNASKED", EVENTS),
        (resume_a_term_without_a_list_of_the_inbox, "UNASKED", ("outage",)),
        (end_processes_at_addresses_outside_ascii, "ENDED", EVENTS),
    ],
)
def test_cancelled_work_that_goes_on_is_found(
    fault: Callable[[pytest.MonkeyPatch], None],
    rule: str,
    events: tuple[str, ...],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a model that cannot find a cancelling that was lost or had no
    # effect, or an entry of the registry that ends a process.
    fault(monkeypatch)
    played = (play_cancellations(seed, events) for seed in range(MAX_SEEDS))
    violations = next(world.violations for world in played if world.violations)
    assert any(rule in violation for violation in violations)


@pytest.mark.parametrize("is_mended", [True, False])
def test_a_cancelling_while_an_entry_ends_each_scheduler_is_judged(
    is_mended: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a check that misses the incident: an entry of another writer ended
    # each process that scheduled, until it was removed.
    if not is_mended:
        end_processes_at_addresses_outside_ascii(monkeypatch)
    world = World(1)
    world.reports_ended_processes = False
    world.has_faults = False
    world.fleet.shortest_run_ms = world.fleet.longest_run_ms = 60_000
    world.run(1_500)
    world.submit()
    world.run(2 * STABLE_MS)
    assert world.fleet.running()
    key = f"{world.fleet.prefix}odd"
    value = encode_body(ENTRY | {"address": "[::1%réseau]:8080"})
    world.store.write({key: value})
    # The runs lapse 6 s after the last poll.
    world.run(200)
    (submission,) = world.submissions.values()
    world.cancel_at(world.nodes[2], submission)
    world.run(CANCEL_MS)
    world.store.write({key: None})
    world.run(STABLE_MS)
    assert any("UNASKED" in row for row in world.violations) is not is_mended
    assert world.cancellations.judged_at_once or not is_mended
