"""Checks of guarantees 4, 5 and 8 on the platform's history and the adoptions."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.kernel import Ok
from guavapin.kernel import Reason
from guavapin.publication.head import CHUNK_PREFIX
from guavapin.publication.head import HEAD_KEY
from guavapin.publication.head import decode_head
from guavapin.publication.merge import diff
from guavapin.publication.messages import Published
from guavapin.publication.snapshot import join

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavapin.objects.model import ObjectSet
    from guavapin_matrix.publication_simulation import OperatorCall
    from guavapin_matrix.publication_simulation import PublicationSimulation

# The limit of guarantee 8 at the current size of the fleet.
IN_FORCE_LIMIT_MS = 2_000


@dataclass(frozen=True, slots=True)
class Generation:
    """One generation as stored by the platform."""

    generation: int
    publication_id: str
    objects: ObjectSet


def read_history(sim: PublicationSimulation) -> tuple[Generation, ...]:
    """Return all generations whose head was ever written, in order."""
    chunks: dict[str, bytes] = {}
    found = []
    for key, value in sim.platform.written:
        if key.startswith(CHUNK_PREFIX):
            chunks[key.removeprefix(CHUNK_PREFIX)] = value
        elif key == HEAD_KEY:
            head = decode_head(value)
            assert isinstance(head, Ok)
            objects = join([chunks[digest] for digest in head.value.digests])
            assert isinstance(objects, Ok)
            item = head.value
            found.append(
                Generation(item.generation, item.publication_id, objects.value)
            )
    return tuple(found)


def check_history(
    sim: PublicationSimulation, history: tuple[Generation, ...]
) -> Iterator[str]:
    """Guarantees 5 and 8: a publication makes one generation, with only its changes."""
    requests = {item.request.publication_id: item.request for item in sim.calls}
    ids = [item.publication_id for item in history]
    if len(set(ids)) != len(ids):
        yield f"5: a publication made two generations: {ids}"
    numbers = [item.generation for item in history]
    if numbers != list(range(1, len(numbers) + 1)):
        yield f"8: generations are {numbers}"
    for before, after in itertools.pairwise(history):
        required = getattr(requests[after.publication_id], "changes", ())
        changed = diff(before.objects, after.objects)
        if [item.new for item in changed] != [item.new for item in required]:
            yield f"8: {after.publication_id} changed {[item.name for item in changed]}"


def check_results(
    sim: PublicationSimulation, history: tuple[Generation, ...]
) -> Iterator[str]:
    """Guarantees 4 and 8: the results sent to operators match the platform's state."""
    numbers = {item.publication_id: item.generation for item in history}
    for item in sim.calls:
        name, result = item.request.publication_id, item.result
        if item.is_cancelled and name in numbers:
            yield f"4: {name} was cancelled before it began but took effect"
        if isinstance(result, Published) and name in numbers:
            if numbers[name] != result.generation:
                yield f"8: {name} was accepted as {result.generation}: {numbers[name]}"
        elif isinstance(result, Published):
            # There was nothing to change: the result names a generation that already
            # contains the objects.
            yield from _check_unchanged(item, history[result.generation - 1])
        is_single = not _was_repeated(sim, item)
        if _is_refusal(item) and (item.was_in_force or (is_single and name in numbers)):
            yield f"4: {name} was refused as not published but took effect"
        if not item.fut.done() and item.node.is_alive and not item.node.is_paused:
            yield f"8: the operator of {name} got no answer"


def check_adoptions(
    sim: PublicationSimulation, history: tuple[Generation, ...]
) -> Iterator[str]:
    """Guarantee 8: processes adopt rising generations, as stored, up to the last."""
    contents = {item.generation: item.objects for item in history}
    last: dict[str, int] = {}
    for item in sim.adoptions:
        if item.generation <= last.get(item.process, 0):
            known = last[item.process]
            yield f"8: {item.process} went from {known} to {item.generation}"
        last[item.process] = item.generation
        if contents.get(item.generation) != item.objects:
            yield f"8: {item.process} has another content of {item.generation}"
    for node in sim.alive():
        if last.get(node.name, 0) != history[-1].generation:
            yield f"8: {node.name} stays at {last.get(node.name)}"


def check_in_force(
    sim: PublicationSimulation, item: OperatorCall, names: list[str]
) -> Iterator[str]:
    """Guarantee 8: a publication is in force at all processes within the limit.

    The limit counts from the answer to the operator.
    """
    if not isinstance(item.result, Published):
        yield f"8: {item.request.publication_id} was not accepted: {item.result}"
        return
    for name in names:
        times = [
            adoption.at_ms
            for adoption in sim.adoptions
            if adoption.process == name
            and adoption.generation >= item.result.generation
        ]
        if not times or times[0] > item.ended_ms + IN_FORCE_LIMIT_MS:
            late = f"after {times[0] - item.ended_ms} ms" if times else "never"
            yield f"8: {item.request.publication_id} was in force at {name} {late}"


def _check_unchanged(item: OperatorCall, current: Generation) -> Iterator[str]:
    for change in getattr(item.request, "changes", ()):
        if current.objects.hosts.get(change.name) != change.new:
            name = item.request.publication_id
            yield f"8: {name} was accepted but is not in {current.generation}"


def _is_refusal(item: OperatorCall) -> bool:
    result = item.result
    if result is None or isinstance(result, Published):
        return False
    return getattr(result, "reason", None) is not Reason.OUTCOME_UNKNOWN


def _was_repeated(sim: PublicationSimulation, item: OperatorCall) -> bool:
    name = item.request.publication_id
    return sum(other.request.publication_id == name for other in sim.calls) > 1
