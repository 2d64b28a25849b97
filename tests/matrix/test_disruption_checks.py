"""The checks of the procedures `wave` and `move` report injected defects."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from guavapin.fleet import host_rules
from guavapin.fleet import view
from guavapin.fleet import writer
from guavapin.fleet.lost_write import LostWriteOutcome
from guavapin.kernel import Ok
from guavapin.waves import disruption_steps
from guavapin_matrix import disruptions
from guavapin_matrix import fleet_simulation
from guavapin_matrix.cell import Cell
from guavapin_matrix.cell import Step
from guavapin_matrix.disruptions import Disruptions
from guavapin_matrix.faults import Fault
from tests.matrix.broken import kinds
from tests.matrix.broken import overwrite_everything

if TYPE_CHECKING:
    import pytest

    from guavapin.fleet.change import Change
    from guavapin.kernel import Outcome
    from guavapin.objects.model import ObjectSet


def run(procedure: str, step: str, *faults: Fault) -> tuple[str, ...]:
    cell = Cell(Step(procedure, step), faults, seed=1)
    return Disruptions(procedure, 1).run(cell).violations


def test_run_without_a_defect_has_no_violation() -> None:
    assert run("wave", "draining", Fault.HOSTS_LOST) == ()
    assert run("move", "joining", Fault.RACE) == ()


def test_broken_budget_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """The budget requires no available host, so a wave takes the whole pool."""
    build = fleet_simulation.build_objects

    def without_budget(has_wave: bool) -> ObjectSet:
        objects = build(has_wave)
        wave = replace(objects.waves["w"], racks=(), max_at_once=4)
        budget = replace(objects.budgets["b"], min_available=0)
        return replace(objects, waves={"w": wave}, budgets={"b": budget})

    monkeypatch.setattr(fleet_simulation, "build_objects", without_budget)
    assert "1" in kinds(run("wave", "draining"))


def test_host_in_no_pool_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """The join of a host removes it from the placements of the record."""
    join = host_rules._join

    def drop_host(*args: Any) -> Outcome[Change]:
        outcome = join(*args)
        assert isinstance(outcome, Ok)
        state = outcome.value.state
        placements = {k: v for k, v in state.placements.items() if k != "a0"}
        state = replace(state, placements=placements)
        return Ok(replace(outcome.value, state=state))

    monkeypatch.setattr(host_rules, "_join", drop_host)
    assert "2" in kinds(run("move", "joining"))


def test_change_of_pool_without_a_move_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """The end of the subject's disruption changes the pool of another host."""
    finish = host_rules.without_disruption

    def misplace(state: Any, host: str) -> Any:
        state = finish(state, host)
        return replace(state, placements={**state.placements, "a3": "b"})

    monkeypatch.setattr(host_rules, "without_disruption", misplace)
    assert "2" in kinds(run("move", "serving"))


def test_false_refusal_of_a_command_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """A writer whose answer was lost assumes that the write had no effect."""
    monkeypatch.setattr(writer, "find_applied", lambda state, command_id: None)
    monkeypatch.setattr(
        writer, "resolve_lost_write", lambda *args: LostWriteOutcome.HAD_NO_EFFECT
    )
    faults = (Fault.CANCELLATIONS, Fault.ANSWER_LOST)
    assert "4" in kinds(run("move", "joining", *faults))


def test_platform_without_compare_and_swap_is_seen(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without compare-and-swap, two writers overwrite each other's record."""
    overwrite_everything(monkeypatch)
    assert "5" in kinds(run("move", "serving", Fault.RACE, Fault.CANCELLATIONS))


def test_work_cut_off_by_a_reboot_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """A host is rebooted before its work has ended."""

    def skip_wait(
        situation: Any, forward: Any, backward: Any
    ) -> disruption_steps.SubmitAction:
        return disruption_steps.SubmitAction(forward)

    monkeypatch.setattr(disruption_steps, "_empty_host", skip_wait)
    assert "7" in kinds(run("wave", "rebooting"))


def test_disruption_without_an_end_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """A host in the phase `returning` never gets back into service."""
    wait = disruption_steps.Wait()
    monkeypatch.setattr(disruption_steps, "_return_step", lambda situation: wait)
    assert "7" in kinds(run("wave", "returning"))


def test_phase_without_a_variant_is_a_gap(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a new phase of a host that no column covers."""
    variants = {
        **disruptions.VARIANT_PHASES,
        "wave": {"": disruptions.VARIANT_PHASES["wave"][""]},
    }
    monkeypatch.setattr(disruptions, "VARIANT_PHASES", variants)
    procedure = Disruptions("wave", 1)
    named = {step.name for step in procedure.steps()}
    assert procedure.required_steps() - named == {"failed"}


def test_drain_that_entries_do_not_see_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """The view polls the record's revision only every 20 s while watches are silent."""
    monkeypatch.setattr(view, "CHECK_INTERVAL_MS", 20_000)
    assert "6" in kinds(run("move", "waiting", Fault.SILENT_CONNECTION))
