"""Runs the fault soak for a range of seeds and prints what each showed."""

from __future__ import annotations

import argparse
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TypeAlias

from guavapin_soak.call_run import CallResult
from guavapin_soak.call_run import run_calls
from guavapin_soak.executor_run import ExecutorResult
from guavapin_soak.executor_run import run_executors
from guavapin_soak.planned_run import PlannedResult
from guavapin_soak.planned_run import run_planned_work
from guavapin_soak.run import RunResult
from guavapin_soak.run import run_soak

Result: TypeAlias = RunResult | PlannedResult | ExecutorResult | CallResult

# Kinds of events of executors that are counted for each seed.
KINDS = ("start", "done", "lapsed", "killed", "suspended")
SUCCESSION_KINDS = ("succeeds", "other life")


def main(arguments: list[str] | None = None) -> int:
    """Return 0 if every run kept every promise to callers, else 1."""
    parser = argparse.ArgumentParser(prog="guavapin_soak", description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--runs", type=int, default=50, help="seeds in a row")
    parser.add_argument("--seconds", type=int, default=12, help="length of the faults")
    parser.add_argument("--hosts", type=int, default=3, help="entry hosts of a run")
    parser.add_argument("--at-once", type=int, default=2, help="runs at a time")
    parser.add_argument("--folder", type=Path, help="where logs go; else a new folder")
    modes = parser.add_mutually_exclusive_group()
    modes.add_argument(
        "--planned", action="store_true", help="planned work only, on open connections"
    )
    modes.add_argument(
        "--executors",
        action="store_true",
        help="faults of executors that are processes of their own",
    )
    modes.add_argument(
        "--calls",
        action="store_true",
        help="calls of the HTTP client to servers that misbehave",
    )
    parser.add_argument(
        "--successors",
        action="store_true",
        help="with --executors: next lives under other ids at the same addresses, and "
        "registries and lists of machines that lag",
    )
    parser.add_argument(
        "--services",
        action="store_true",
        help="with --executors: the route changes between two services",
    )
    options = parser.parse_args(arguments)
    if (options.successors or options.services) and not options.executors:
        parser.error("--successors and --services need --executors")
    folder = options.folder or Path(tempfile.mkdtemp(prefix="guavapin-soak-"))
    print(f"logs go to {folder}")

    def run_seed(seed: int) -> Result:
        seed_folder = folder / str(seed)
        seed_folder.mkdir(parents=True)
        length_ms = options.seconds * 1_000
        if options.calls:
            return run_calls(seed, length_ms, seed_folder)
        if options.executors:
            return run_executors(
                seed,
                length_ms,
                options.hosts,
                seed_folder,
                options.successors,
                options.services,
            )
        run = run_planned_work if options.planned else run_soak
        return run(seed, length_ms, options.hosts, seed_folder)

    failed = 0
    seeds = range(options.first, options.first + options.runs)
    with ThreadPoolExecutor(options.at_once) as executor:
        for result in executor.map(run_seed, seeds):
            failed += bool(result.violations)
            if isinstance(result, PlannedResult):
                _print_planned(result)
            elif isinstance(result, ExecutorResult):
                _print_executors(result)
            elif isinstance(result, CallResult):
                _print_calls(result)
            else:
                _print_result(result)
            for text in result.violations:
                print(f"  {text}", flush=True)
    print(f"{options.runs} runs, {failed} failed")
    return 1 if failed else 0


def _print_result(result: RunResult) -> None:
    kinds = sorted({fault.kind.value for fault in result.faults})
    print(
        f"seed {result.seed}: {len(result.faults)} faults ({', '.join(kinds)}); "
        f"{result.accepted} accepted, {result.refused} refused, "
        f"{result.unanswered} without an answer, {result.stopped} runs stopped: "
        f"{'FAILED' if result.violations else 'ok'}",
        flush=True,
    )


def _print_planned(result: PlannedResult) -> None:
    kinds = sorted({step.kind.name for step in result.steps})
    ends = ", ".join(f"{count} {end.value}" for end, count in result.ends.items())
    print(
        f"seed {result.seed}: {len(result.steps)} steps ({', '.join(kinds)}), "
        f"{result.stops} stops; {ends}, {result.excused} given more time: "
        f"{'FAILED' if result.violations else 'ok'}",
        flush=True,
    )


def _print_executors(result: ExecutorResult) -> None:
    kinds = [fault.kind.name for fault in result.plan.faults]
    kinds += [fault.kind.name for fault in result.successions]
    counts = ", ".join(
        f"{result.kinds.get(kind, 0)} {kind}"
        for kind in KINDS + (SUCCESSION_KINDS if result.successions else ())
    )
    print(
        f"seed {result.seed}: longest lease {result.plan.max_lease_ms} ms, "
        f"{len(kinds)} faults ({', '.join(sorted(set(kinds)))}), "
        f"{result.service_changes} changes of the service, "
        f"{result.accepted} jobs accepted, {counts}: "
        f"{'FAILED' if result.violations else 'ok'}",
        flush=True,
    )


def _print_calls(result: CallResult) -> None:
    kinds = sorted({fault.kind.name for fault in result.plan.faults})
    counts = ", ".join(f"{result.outcomes[name]} {name}" for name in result.outcomes)
    print(
        f"seed {result.seed}: {len(result.plan.faults)} faults ({', '.join(kinds)}), "
        f"{result.servers} servers, {len(result.plan.calls)} calls, "
        f"{result.reads} read; {counts}: "
        f"{'FAILED' if result.violations else 'ok'}",
        flush=True,
    )


if __name__ == "__main__":
    sys.exit(main())
