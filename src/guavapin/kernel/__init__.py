"""Micro-kernel: services by name, mailbox tasks on event loops, clock, outcomes."""

from __future__ import annotations

from guavapin.kernel.clock import Clock
from guavapin.kernel.clock import ManualClock
from guavapin.kernel.clock import SystemClock
from guavapin.kernel.kernel import Kernel
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.kernel.task import Call
from guavapin.kernel.task import Task
from guavapin.kernel.task import TaskContext
from guavapin.kernel.task import TimerHandle

__all__ = [
    "Call",
    "Clock",
    "Kernel",
    "ManualClock",
    "Ok",
    "Outcome",
    "Reason",
    "Refused",
    "SystemClock",
    "Task",
    "TaskContext",
    "TimerHandle",
]
