from __future__ import annotations

import pytest

from guavapin.duties import lease as lease_machine
from guavapin.duties.messages import DutyHeld
from guavapin.duties.messages import DutyLost
from guavapin.duties.messages import ReleaseDuty
from guavapin.duties.task import DutyTask
from guavapin.kernel.harness import TaskHarness
from guavapin.keyvalue import messages as platform
from tests.fleet.platform_double import DROPPED
from tests.fleet.platform_double import LATE
from tests.fleet.platform_double import LOST
from tests.fleet.platform_double import OK
from tests.fleet.platform_double import PlatformDouble
from tests.fleet.platform_double import pump


class Rig:
    """A process that competes for the duty; tests lapse leases by `double.lapse`."""

    def __init__(self, double: PlatformDouble, name: str) -> None:
        self.double = double
        self.task = DutyTask("fleet", name, ("worker",), seed=len(name))
        self.harness = TaskHarness(self.task)
        self.received: list[object] = []

    def start(self) -> None:
        self.harness.start()
        self.received += pump(self.harness, self.task, self.double)

    def run(self, milliseconds: int, step_ms: int = 50) -> None:
        for _ in range(milliseconds // step_ms):
            self.harness.advance(step_ms)
            self.received += pump(self.harness, self.task, self.double)

    @property
    def tokens(self) -> list[int]:
        return [m.token for m in self.received if isinstance(m, DutyHeld)]

    @property
    def is_lost(self) -> bool:
        return any(isinstance(message, DutyLost) for message in self.received)


@pytest.fixture
def double() -> PlatformDouble:
    return PlatformDouble()


@pytest.fixture
def holder(double: PlatformDouble) -> Rig:
    rig = Rig(double, "first")
    rig.start()
    return rig


def test_token_is_the_revision_of_the_key(holder: Rig, double: PlatformDouble) -> None:
    assert holder.tokens == [double.keys["duty/fleet"][1]]


def test_second_process_does_not_get_a_held_duty(
    holder: Rig, double: PlatformDouble
) -> None:
    second = Rig(double, "second")
    second.start()
    second.run(20_000)
    assert second.tokens == []


def test_takeover_within_10_s_with_a_higher_token(
    holder: Rig, double: PlatformDouble
) -> None:
    """The first process dies just after a renewal; its lease lapses 5 s later."""
    second = Rig(double, "second")
    second.start()
    second.run(lease_machine.LEASE_MS)
    for lease_id in list(double.leases):
        double.lapse(lease_id)
    second.run(10_000 - lease_machine.LEASE_MS)
    assert second.tokens and second.tokens[0] > holder.tokens[0]


def test_unconfirmed_holder_releases_the_duty_before_its_lease_can_lapse(
    holder: Rig, double: PlatformDouble
) -> None:
    double.is_down = True
    holder.run(lease_machine.LEASE_MS - lease_machine.MARGIN_MS - 100)
    assert not holder.is_lost
    holder.run(200)
    assert holder.is_lost


def test_paused_holder_releases_the_duty_as_soon_as_it_resumes(holder: Rig) -> None:
    holder.harness.clock.advance(60_000)
    holder.harness.advance(1)
    holder.received += pump(holder.harness, holder.task, holder.double)
    assert holder.is_lost


def test_late_answer_to_a_renewal_does_not_extend_the_lease(holder: Rig) -> None:
    """The lease is counted from when the call was sent, not from its answer."""
    lease = lease_machine.DutyLease(
        "fleet",
        "x",
        lease_machine.LeasePhase.HELD,
        "lease-1",
        3,
        confirmed_ms=0,
        lease_ms=lease_machine.LEASE_MS,
    )
    renewing, actions = lease_machine.tick(lease, 1_500)
    assert actions == (lease_machine.Renew(),)
    answer = platform.Leased("lease-1", 5_000)
    held, _ = lease_machine.handle_renewal(renewing, answer, 1_500, 4_000)
    assert held.until_ms == 1_500 + lease_machine.LEASE_MS - lease_machine.MARGIN_MS
    older, _ = lease_machine.handle_renewal(held, answer, 500, 4_100)
    assert older.until_ms == held.until_ms
    unknown = platform.Unknown("deadline")
    late, _ = lease_machine.handle_renewal(renewing, unknown, 1_500, 4_600)
    assert late.phase is lease_machine.LeasePhase.IDLE


def test_a_lease_that_outlived_an_outage_is_held_again_with_the_same_token() -> None:
    # Guards against a holder that releases its duty during an outage of the store: no
    # process could acquire it for 1.5 s, until the lease lapsed (gagnon-jobs-grown
    # trouble-3).
    terms = lease_machine.LeaseTerms(1_500, 400, 150, 0, resume_ms=6_000)
    held = lease_machine.DutyLease(
        "d", "x", lease_machine.LeasePhase.HELD, "1", 7, 0, 0, 1_500, terms
    )
    suspended, _ = lease_machine.tick(held, 1_400)
    assert suspended.phase is lease_machine.LeasePhase.SUSPENDED
    assert not suspended.is_held(1_400)
    waiting, actions = lease_machine.tick(suspended, 5_000)
    assert actions == (lease_machine.Renew(),)
    answer = platform.Leased("1", 1_500)
    late, _ = lease_machine.handle_renewal(waiting, answer, 2_000, 5_100)
    assert not late.is_held(5_100)
    back, _ = lease_machine.handle_renewal(late, answer, 5_000, 5_100)
    assert back.is_held(5_100) and back.token == 7


def test_a_suspended_duty_is_released_when_its_lease_or_resume_time_ends() -> None:
    # Guards against a suspended process that blocks the duty for others forever.
    terms = lease_machine.LeaseTerms(1_500, 400, 150, 0, resume_ms=6_000)
    held = lease_machine.DutyLease(
        "d", "x", lease_machine.LeasePhase.HELD, "1", 7, 0, 0, 1_500, terms
    )
    suspended, _ = lease_machine.tick(held, 1_400)
    lapsed, _ = lease_machine.handle_renewal(
        suspended, platform.Missing(), 2_000, 2_100
    )
    assert lapsed.phase is lease_machine.LeasePhase.IDLE
    over, actions = lease_machine.tick(suspended, 1_350 + 6_000)
    assert over.phase is lease_machine.LeasePhase.IDLE
    assert actions == (lease_machine.Revoke("1"),)


def test_a_slow_store_makes_the_lease_longer() -> None:
    # Guards against a lease that ends before its first renewal is answered: the store
    # took 400 ms per call, the lease 1.5 s (gagnon-jobs-grown trouble-2).
    terms = lease_machine.LeaseTerms(lease_ms=1_500, renew_ms=400, margin_ms=150)
    lease, _ = lease_machine.tick(lease_machine.DutyLease("d", "x", terms=terms), 0)
    lease, (grant,) = lease_machine.handle_answer(lease, platform.Missing(), 400)
    assert isinstance(grant, lease_machine.Grant) and grant.lease_ms == 3_100
    lease, _ = lease_machine.handle_answer(lease, platform.Leased("1", 3_100), 800)
    lease, _ = lease_machine.handle_answer(lease, platform.Written(7), 1_200)
    assert lease.is_held(1_200 + 2 * 400 + terms.renew_ms)


def test_renewals_keep_the_duty(holder: Rig) -> None:
    holder.run(60_000)
    assert not holder.is_lost and len(set(holder.tokens)) == 1


def test_lapsed_lease_is_detected_by_the_renewal(
    holder: Rig, double: PlatformDouble
) -> None:
    double.lapse(next(iter(double.leases)))
    holder.run(lease_machine.RENEW_MS + 50)
    assert holder.is_lost


@pytest.mark.parametrize("fault", [LOST, DROPPED, LATE])
def test_claim_whose_answer_is_lost_is_resolved_by_reading(
    double: PlatformDouble, fault: str
) -> None:
    """A claim that took effect is used; one without effect must not count as held."""
    double.faults.extend([OK, fault])
    rig = Rig(double, "first")
    rig.start()
    assert bool(rig.tokens) == (fault == LOST)
    double.deliver_late()
    rig.run(5_000)
    assert rig.tokens
    assert rig.tokens[-1] == double.keys["duty/fleet"][1]


def test_stop_frees_the_duty_at_once(holder: Rig, double: PlatformDouble) -> None:
    holder.task.stop()
    pump(holder.harness, holder.task, double)
    second = Rig(double, "second")
    second.start()
    assert second.tokens


def test_fenced_worker_ends_the_duty(holder: Rig) -> None:
    holder.task.handle(ReleaseDuty(holder.tokens[0]))
    holder.received += pump(holder.harness, holder.task, holder.double)
    assert holder.is_lost


def test_acquisition_without_an_answer_is_restarted() -> None:
    """Guards against a process that waits forever for a missing answer."""
    lease, _ = lease_machine.tick(lease_machine.DutyLease("fleet", "x"), 0)
    assert lease_machine.tick(lease, lease_machine.LEASE_MS - 1)[0] == lease
    again, _ = lease_machine.tick(lease, lease_machine.LEASE_MS)
    assert again.phase is lease_machine.LeasePhase.IDLE
