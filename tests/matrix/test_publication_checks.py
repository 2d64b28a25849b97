"""The checks of the procedure `publication` report injected defects."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from guavapin.publication import publisher
from guavapin.publication.configuration import ConfigurationTask
from guavapin.publication.head import encode_head
from guavapin.publication.head_source import HeadSource
from guavapin.publication.messages import Published
from guavapin.publication.plan import Plan
from guavapin_matrix.cell import Cell
from guavapin_matrix.cell import Step
from guavapin_matrix.fake_peers import FakePeers
from guavapin_matrix.faults import Fault
from guavapin_matrix.publications import Publications
from tests.matrix.broken import kinds
from tests.matrix.broken import overwrite_everything

if TYPE_CHECKING:
    import pytest

    from guavapin.publication.head import Head


def run(step: str, *faults: Fault, variant: str = "") -> tuple[str, ...]:
    cell = Cell(Step("publication", step, variant), faults, seed=1)
    return Publications().run(cell).violations


def test_run_without_a_defect_has_no_violation() -> None:
    assert run("write head", Fault.ANSWER_LOST) == ()
    assert run("read chunks", Fault.SAME_OBJECT, variant="cold") == ()


def test_lost_publication_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without compare-and-swap, two publishers overwrite each other's head."""
    overwrite_everything(monkeypatch)
    assert "8" in kinds(run("write audit value", Fault.RACE))


def test_second_generation_of_a_publication_is_seen(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A repeated publication that changes nothing makes a second generation."""
    plan = publisher.make_plan

    def force(request: Any, head: Head | None, *rest: Any) -> Any:
        made = plan(request, head, *rest)
        if not isinstance(made, Published) or head is None:
            return made
        again = replace(head, generation=head.generation + 1)
        empty: dict[str, bytes] = {}
        return Plan(again, empty, "audit/again", b"again", encode_head(again))

    monkeypatch.setattr(publisher, "make_plan", force)
    monkeypatch.setattr(publisher, "generation_of", lambda head, name: None)
    assert "5" in kinds(run("write head", Fault.ANSWER_LOST))


def test_false_refusal_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """A publisher mistakes the conflict with its own write for a lost race."""
    monkeypatch.setattr(publisher, "MAX_HEAD_CONFLICTS", 0)
    assert "4" in kinds(run("write head", Fault.ANSWER_LOST))


def test_return_to_a_generation_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process adopts the same generation twice."""
    adopt = ConfigurationTask._adopt

    def twice(self: ConfigurationTask, action: Any) -> None:
        adopt(self, action)
        adopt(self, action)

    monkeypatch.setattr(ConfigurationTask, "_adopt", twice)
    assert "8" in kinds(run("done"))


def test_late_adoption_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """The head is neither watched nor polled nor announced to the peers."""
    monkeypatch.setattr(HeadSource, "set_watcher", lambda self, is_watcher: None)
    monkeypatch.setattr(HeadSource, "_check", lambda self: None)
    monkeypatch.setattr(FakePeers, "on_message", lambda self, node, message: None)
    assert "8" in kinds(run("done"))


def test_polling_alone_adopts_the_head_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Polling the head suffices without the watch and without announcements.

    Each of the three ways of noticing a change must suffice by itself.
    """
    monkeypatch.setattr(HeadSource, "set_watcher", lambda self, is_watcher: None)
    monkeypatch.setattr(FakePeers, "on_message", lambda self, node, message: None)
    assert run("done") == ()
