"""The kernel: registers services by name, starts and stops them in order."""

from __future__ import annotations

import threading
from concurrent.futures import FIRST_COMPLETED
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import wait
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from guavapin.kernel.event_loop import EventLoop
from guavapin.kernel.outcome import InvariantError
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.kernel.task import Call

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavapin.kernel.clock import Clock
    from guavapin.kernel.task import Task
    from guavapin.kernel.task import TimerHandle

MAX_LOOPS = 8
STOP_TIMEOUT_MS = 5_000


@dataclass(frozen=True, slots=True)
class _Service:
    task: Task
    loop: EventLoop
    requires: tuple[str, ...]


class _Context:
    """`TaskContext` of one task on its loop."""

    def __init__(self, kernel: Kernel, task: Task, loop: EventLoop) -> None:
        self._kernel = kernel
        self._task = task
        self._loop = loop
        self.now_ms = loop.now_ms
        self.idle_ms = loop.idle_ms
        self.watch = loop.watch
        self.unwatch = loop.unwatch
        self.cancel_timer = loop.cancel_timer

    @property
    def clock(self) -> Clock:
        return self._loop.clock

    def send(self, service: str, message: object) -> None:
        self._kernel.deliver(service, message, sender=self._loop)

    def set_timer(self, delay_ms: int, message: object) -> TimerHandle:
        return self._loop.set_timer(self._task, delay_ms, message)


class Kernel:
    """Registry and life cycle of the services of one process.

    For example::

        kernel = Kernel(SystemClock())
        kernel.register(PlatformTask(cfg), loop="control")
        kernel.register(ClaimsTask(cfg), loop="control", requires=("platform",))
        outcome = kernel.start()

    If a service fails to start, `start` stops the services started before it and
    returns `Refused(START_FAILED)` with the name of the failed service.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._services: dict[str, _Service] = {}
        self._loops: dict[str, EventLoop] = {}
        self._started: list[str] = []
        self._executor = ThreadPoolExecutor(MAX_LOOPS, thread_name_prefix="loop")
        self._loop_futs: list[Future[None]] = []
        self._failed = threading.Event()
        self._failure_callback: Callable[[], object] | None = None
        # Messages for services that have not started yet, in the order of their
        # arrival; empty once all have started.
        self._queued: dict[str, list[object]] = {}
        self._queued_lock = threading.Lock()

    def register(
        self, task: Task, loop: str = "main", requires: tuple[str, ...] = ()
    ) -> None:
        """Add a service before `start`; a duplicate name raises InvariantError."""
        if task.name in self._services:
            raise InvariantError(f"service {task.name!r} is registered twice")
        if loop not in self._loops:
            self._loops[loop] = EventLoop(loop, self.clock)
        self._services[task.name] = _Service(task, self._loops[loop], requires)

    def start(self) -> Outcome[None]:
        """Start the loops, then each service after the services that it requires."""
        order = self._start_order()
        if isinstance(order, Refused):
            return order
        self._queued = {name: [] for name in order.value}
        for loop in self._loops.values():
            fut = self._executor.submit(loop.run)
            fut.add_done_callback(self._on_loop_end)
            self._loop_futs.append(fut)
        for name in order.value:
            outcome = self._start_service(name)
            if isinstance(outcome, Refused):
                self.stop()
                return outcome
            self._started.append(name)
            self._deliver_queued(name)
        return Ok(None)

    def stop(self) -> tuple[str, ...]:
        """Stop services in reverse order; return those that raised or timed out."""
        late = []
        while self._started:
            name = self._started.pop()
            service = self._services[name]
            fut = self._run_on(service.loop, service.task.stop)
            done, _ = wait([fut], STOP_TIMEOUT_MS / 1_000)
            if not done or fut.exception() is not None:
                late.append(name)
        for loop in self._loops.values():
            loop.stop()
        wait(self._loop_futs, STOP_TIMEOUT_MS / 1_000)
        self._executor.shutdown(wait=False)
        for loop in self._loops.values():
            if not loop.is_running:
                loop.close()
        return tuple(late)

    def deliver(
        self, service: str, message: object, sender: EventLoop | None = None
    ) -> None:
        """Queue `message` for `service`, from the loop `sender` or any thread."""
        target = self._services.get(service)
        if target is None:
            raise InvariantError(f"no service is named {service!r}")
        if self._queued and self._queue_until_start(service, message):
            return
        if target.loop is sender:
            sender.post_local(target.task, message)
        else:
            target.loop.post((target.task, message))

    def ask(self, service: str, message: object) -> Future[Any]:
        """Send `message` as a `Call` and return the future of its reply."""
        fut: Future[Any] = Future()
        self.deliver(service, Call(message, fut))
        return fut

    def wait_for_failure(self, timeout_ms: int | None = None) -> BaseException | None:
        """Block until a loop fails or `timeout_ms` has passed; return the failure."""
        self._failed.wait(None if timeout_ms is None else timeout_ms / 1_000)
        return self.failure

    def on_failure(self, callback: Callable[[], object]) -> None:
        """Call `callback` on the thread of a loop that fails; now if one has failed."""
        self._failure_callback = callback
        if self._failed.is_set():
            callback()

    @property
    def failure(self) -> BaseException | None:
        """Return the exception that ended a loop, None while all run."""
        failures = (loop.failure for loop in self._loops.values())
        return next((exc for exc in failures if exc is not None), None)

    def _queue_until_start(self, service: str, message: object) -> bool:
        with self._queued_lock:
            queue = self._queued.get(service)
            if queue is None:
                return False
            queue.append(message)
            return True

    def _deliver_queued(self, name: str) -> None:
        service = self._services[name]
        with self._queued_lock:
            for message in self._queued.pop(name):
                service.loop.post((service.task, message))

    def _start_service(self, name: str) -> Outcome[None]:
        service = self._services[name]
        context = _Context(self, service.task, service.loop)
        fut = self._run_on(service.loop, lambda: service.task.start(context))
        # A failed loop never runs the functions posted to it, so `fut` would stay open.
        wait([fut, *self._loop_futs], return_when=FIRST_COMPLETED)
        if not fut.done():
            detail = (
                f"service {name!r} was not started: a loop failed: {self.failure!r}"
            )
            return Refused(Reason.START_FAILED, detail)
        try:
            outcome = fut.result()
        except Exception as exc:
            detail = f"service {name!r} failed to start: {self.failure or exc!r}"
            return Refused(Reason.START_FAILED, detail)
        if isinstance(outcome, Refused):
            detail = f"service {name!r} failed to start: {outcome}"
            return Refused(Reason.START_FAILED, detail)
        return Ok(None)

    def _run_on(self, loop: EventLoop, function: Callable[[], Any]) -> Future[Any]:
        fut: Future[Any] = Future()

        def run() -> None:
            try:
                fut.set_result(function())
            except Exception as exc:
                fut.set_exception(exc)

        if loop.is_running:
            loop.post(run)
        else:
            fut.set_exception(InvariantError(f"loop {loop.name!r} has ended"))
        return fut

    def _on_loop_end(self, fut: Future[None]) -> None:
        if fut.exception() is not None:
            self._failed.set()
            if self._failure_callback is not None:
                self._failure_callback()

    def _start_order(self) -> Outcome[tuple[str, ...]]:
        order: list[str] = []
        pending = dict(self._services)
        while pending:
            ready = [
                name
                for name, service in pending.items()
                if all(required in order for required in service.requires)
            ]
            if not ready:
                return Refused(Reason.START_FAILED, self._describe_unmet(pending))
            order.extend(ready)
            for name in ready:
                del pending[name]
        return Ok(tuple(order))

    def _describe_unmet(self, pending: dict[str, _Service]) -> str:
        for name, service in pending.items():
            for required in service.requires:
                if required not in self._services:
                    return f"service {name!r} requires unknown service {required!r}"
        return f"services require one another in a cycle: {', '.join(sorted(pending))}"
