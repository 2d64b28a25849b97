from __future__ import annotations

import selectors
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest

from guavapin.kernel import Call
from guavapin.kernel import Kernel
from guavapin.kernel import Ok
from guavapin.kernel import Outcome
from guavapin.kernel import Reason
from guavapin.kernel import Refused
from guavapin.kernel import SystemClock
from guavapin.kernel import TaskContext
from guavapin.kernel.clock import ManualClock
from guavapin.kernel.event_loop import EventLoop
from guavapin.kernel.outcome import InvariantError

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True)
class TextMessage:
    text: str


class RecordingTask:
    def __init__(self, name: str, log: list[str], fails: bool = False) -> None:
        self.name = name
        self.log = log
        self.fails = fails
        self.on_message: Callable[[TaskContext, object], None] | None = None

    def start(self, context: TaskContext) -> Outcome[None]:
        self.context = context
        self.log.append(f"start {self.name}")
        if self.fails:
            return Refused(Reason.UNREACHABLE, "port in use")
        return Ok(None)

    def handle(self, message: object) -> None:
        if self.on_message is not None:
            self.on_message(self.context, message)

    def stop(self) -> None:
        self.log.append(f"stop {self.name}")


@pytest.fixture
def log() -> list[str]:
    return []


@pytest.fixture
def kernel() -> Kernel:
    return Kernel(SystemClock())


def test_services_start_after_what_they_require_and_stop_in_reverse(kernel, log):
    kernel.register(RecordingTask("b", log), requires=("a",))
    kernel.register(RecordingTask("a", log), loop="other")
    assert kernel.start() == Ok(None)
    kernel.stop()
    assert log == ["start a", "start b", "stop b", "stop a"]


def test_failed_start_names_the_service_and_stops_the_started(kernel, log):
    kernel.register(RecordingTask("a", log))
    kernel.register(RecordingTask("b", log, fails=True), requires=("a",))
    outcome = kernel.start()
    assert isinstance(outcome, Refused)
    assert outcome.reason is Reason.START_FAILED
    assert "'b'" in outcome.detail and "port in use" in outcome.detail
    assert log == ["start a", "start b", "stop a"]


def test_unknown_requirement_and_cycle_are_refused(log):
    kernel = Kernel(SystemClock())
    kernel.register(RecordingTask("a", log), requires=("missing",))
    assert "'missing'" in str(kernel.start())
    kernel = Kernel(SystemClock())
    kernel.register(RecordingTask("a", log), requires=("b",))
    kernel.register(RecordingTask("b", log), requires=("a",))
    assert "cycle: a, b" in str(kernel.start())


def test_name_registered_twice_is_a_broken_invariant(kernel, log):
    kernel.register(RecordingTask("a", log))
    with pytest.raises(InvariantError):
        kernel.register(RecordingTask("a", log))


@pytest.mark.parametrize("other_loop", ["main", "other"])
def test_message_and_reply_cross_loops(kernel, log, other_loop):
    asker = RecordingTask("asker", log)
    answerer = RecordingTask("answerer", log)
    pending = []

    def ask(context: TaskContext, message: object) -> None:
        if isinstance(message, Call):
            pending.append(message.fut)
            context.send("answerer", TextMessage("question"))
        else:
            pending.pop().set_result(message)

    asker.on_message = ask
    answerer.on_message = lambda context, message: context.send(
        "asker", TextMessage("answer")
    )
    kernel.register(asker)
    kernel.register(answerer, loop=other_loop)
    kernel.start()
    assert kernel.ask("asker", TextMessage("go")).result(5) == TextMessage("answer")
    kernel.stop()


def test_timer_fires_once_and_cancelled_timer_never(kernel, log):
    task = RecordingTask("a", log)
    futs = []

    def on_message(context: TaskContext, message: object) -> None:
        if isinstance(message, Call):
            futs.append(message.fut)
            context.cancel_timer(context.set_timer(1, TextMessage("cancelled")))
            context.set_timer(5, TextMessage("kept"))
        else:
            futs.pop().set_result(message)

    task.on_message = on_message
    kernel.register(task)
    kernel.start()
    assert kernel.ask("a", "go").result(5) == TextMessage("kept")
    kernel.stop()


def test_work_is_not_counted_as_idle_time() -> None:
    # Guards against a saturated loop that looks idle, so that a slow host keeps a duty.
    clock = ManualClock(0)
    loop = EventLoop("main", clock)

    def work() -> None:
        clock.advance(500)
        loop.stop()

    loop.post(work)
    loop.run()
    loop.close()
    assert loop.idle_ms() == 0


def test_watched_socket_wakes_the_blocked_loop(kernel, log):
    task = RecordingTask("a", log)
    left, right = socket.socketpair()

    def on_message(context: TaskContext, message: object) -> None:
        assert isinstance(message, Call)

        def on_ready(events: int) -> None:
            context.unwatch(left.fileno())
            message.fut.set_result(left.recv(10))

        context.watch(left.fileno(), selectors.EVENT_READ, on_ready)

    task.on_message = on_message
    kernel.register(task)
    kernel.start()
    fut = kernel.ask("a", "watch")
    right.send(b"hello")
    assert fut.result(5) == b"hello"
    kernel.stop()
    left.close()
    right.close()


def test_exception_in_a_task_is_reported_as_a_failure(kernel, log):
    task = RecordingTask("a", log)

    def on_message(context: TaskContext, message: object) -> None:
        raise InvariantError("broken")

    task.on_message = on_message
    kernel.register(task)
    kernel.start()
    kernel.deliver("a", "go")
    assert isinstance(kernel.wait_for_failure(5_000), InvariantError)
    kernel.stop()


def test_message_to_a_service_that_has_not_started_waits_for_its_start(kernel, log):
    # Guards against a lost message whose receiver starts after its sender.
    early = RecordingTask("early", log)
    late = RecordingTask("late", log)
    original_start = early.start

    def start(context: TaskContext) -> Outcome[None]:
        context.send("late", TextMessage("first"))
        return original_start(context)

    early.start = start
    late.on_message = lambda context, message: (
        message.fut.set_result(None)
        if isinstance(message, Call)
        else log.append(f"got {message.text}")
    )
    kernel.register(early)
    kernel.register(late, loop="other", requires=("early",))
    kernel.start()
    kernel.ask("late", "flush").result(5)
    kernel.stop()
    assert log[:3] == ["start early", "start late", "got first"]


def test_loop_that_fails_during_the_start_does_not_block_it(kernel, log):
    # Guards against a start that waits forever for a loop that has ended.
    first = RecordingTask("first", log)
    second = RecordingTask("second", log)

    def fail(context: TaskContext, message: object) -> None:
        raise InvariantError("broken")

    original_start = second.start

    def start(context: TaskContext) -> Outcome[None]:
        context.send("first", TextMessage("go"))
        return original_start(context)

    first.on_message = fail
    second.start = start
    third = RecordingTask("third", log)
    kernel.register(first)
    kernel.register(second, requires=("first",))
    kernel.register(third, requires=("second",))
    outcome = kernel.start()
    if isinstance(outcome, Refused):
        assert "broken" in outcome.detail
    assert isinstance(kernel.wait_for_failure(5_000), InvariantError)
    kernel.stop()
