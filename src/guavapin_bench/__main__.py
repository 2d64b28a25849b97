"""Runs all benchmarks one after the other: ``python -m guavapin_bench --seed N``.

Each benchmark runs at a reduced length with its own time limit; the limits add up to at
most 10 minutes. A module that is run without arguments runs at full length.
"""

from __future__ import annotations

import argparse
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Benchmark:
    """A module of this package, its arguments, and its time limit in seconds."""

    module: str
    args: tuple[str, ...]
    limit_s: float


BENCHMARKS = (
    Benchmark("fleet", (), 70),
    Benchmark(
        "publication", ("--hosts", "4", "8", "--idle-s", "10", "--changes", "20"), 90
    ),
    Benchmark("claims", ("--duration-ms", "500"), 90),
    Benchmark("policies", ("--scale", "0.1"), 90),
    Benchmark("throughput", ("--requests", "2000", "--rounds", "1"), 80),
    Benchmark("slopes", ("--quick",), 170),
)


def run(benchmark: Benchmark, seed: int) -> str:
    """Run one benchmark; return ``done``, its exit code, or that it hit its limit."""
    command = [sys.executable, "-m", f"guavapin_bench.{benchmark.module}"]
    command += ["--seed", str(seed), *benchmark.args]
    print(f"\n== {benchmark.module} {' '.join(command[3:])}", flush=True)
    # A session of its own, so that the processes that it starts are killed with it.
    process = subprocess.Popen(command, start_new_session=True)
    try:
        code = process.wait(benchmark.limit_s)
    except subprocess.TimeoutExpired:
        return f"ended after its limit of {benchmark.limit_s:g} s"
    finally:
        if process.poll() is None:
            os.killpg(process.pid, signal.SIGKILL)
            process.wait()
    return "done" if code == 0 else f"exit code {code}"


def main(args: list[str] | None = None) -> int:
    """Run all benchmarks and print how each ended; exit code 1 unless all are done."""
    parser = argparse.ArgumentParser(prog="python -m guavapin_bench")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--only", choices=[item.module for item in BENCHMARKS], action="append"
    )
    options = parser.parse_args(args)
    ends = {}
    for benchmark in BENCHMARKS:
        if options.only and benchmark.module not in options.only:
            continue
        began_s = time.monotonic()
        end = run(benchmark, options.seed)
        ends[benchmark.module] = (end, time.monotonic() - began_s)
    print("\n== all benchmarks")
    for name, (end, took_s) in ends.items():
        print(f"{name}: {end}, {took_s:.0f} s")
    return int(any(end != "done" for end, _ in ends.values()))


if __name__ == "__main__":
    raise SystemExit(main())
