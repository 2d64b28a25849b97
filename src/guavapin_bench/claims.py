"""Compares the claim stores: ``python -m guavapin_bench.claims --seed N``.

All variants get the same requests in the same run. Ratios are relative to the variant
with one record per key and without pages. Time is simulated, so the figures do not
depend on the machine.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from typing import TypeAlias

from guavapin.claims.log_store import LogStore
from guavapin.claims.record_store import RecordStore
from guavapin.claims.store import ClaimsConfig
from guavapin.claims.store import ClaimStore
from guavapin_bench.claims_simulation import ClaimsSimulation
from guavapin_bench.claims_simulation import Figures
from guavapin_bench.claims_simulation import Load

StoreFactory: TypeAlias = Callable[[str], ClaimStore]
CFG = ClaimsConfig()
CFG_WITHOUT_PAGES = ClaimsConfig(has_pages=False)
RATES = (10, 100, 300)
PROCESSES = (1, 4, 8)


def log_store_factory(linger_ms: int) -> StoreFactory:
    """Return a factory of log stores that collect a batch for `linger_ms`."""
    return lambda process_id: LogStore(CFG, process_id, linger_ms)


VARIANTS: dict[str, StoreFactory] = {
    "(a) record": lambda process_id: RecordStore(CFG_WITHOUT_PAGES, process_id),
    "(a) with pages": lambda process_id: RecordStore(CFG, process_id),
    "(b) log": log_store_factory(0),
    "(b) log 20 ms": log_store_factory(20),
    "(b) log 100 ms": log_store_factory(100),
}
HEADER = (
    "| requests/s | processes | variant | writes/request | ratio | reads/request "
    "| ratio | bytes/request | ratio | wait p50 ms | wait p99 ms | not run |\n"
    "|---|---|---|---|---|---|---|---|---|---|---|---|"
)


def format_row(load: Load, name: str, figures: Figures, base: Figures) -> str:
    """Return one row of the table; ratios are relative to `base`."""
    requests = figures.requests
    cells = [f"{load.requests_per_second:g}", str(load.processes), name]
    for value, reference in (
        (figures.writes, base.writes),
        (figures.reads, base.reads),
        (figures.bytes_moved, base.bytes_moved),
    ):
        cells.append(f"{value / requests:.2f}")
        cells.append(f"{value / reference:.2f}" if reference else "-")
    cells += [str(figures.wait_ms(0.5)), str(figures.wait_ms(0.99))]
    cells.append(f"{100 * figures.refused.get('NotRun', 0) / requests:.1f}%")
    return "| " + " | ".join(cells) + " |"


def compare(seed: int, writes: float, reads: float, duration_ms: int) -> None:
    """Print one table for the given platform limits in calls/s; 0 means no limit."""
    limits = f"{writes:g} writes/s and {reads:g} reads/s" if writes else "no limits"
    print(f"\nPlatform with {limits}, {duration_ms} ms of requests, seed {seed}\n")
    print(HEADER)
    for rate in RATES:
        for processes in PROCESSES:
            load = Load(
                processes,
                rate,
                duration_ms,
                writes_per_second=writes,
                reads_per_second=reads,
            )
            results = {
                name: ClaimsSimulation(create_store, load, seed).run()
                for name, create_store in VARIANTS.items()
            }
            base = results["(a) record"]
            for name, figures in results.items():
                print(format_row(load, name, figures, base), flush=True)


def main() -> None:
    """Print one table without and one with the platform's limits."""
    parser = argparse.ArgumentParser(description="compare the claim stores")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-ms", type=int, default=10_000)
    args = parser.parse_args()
    compare(args.seed, 0, 0, args.duration_ms)
    compare(args.seed, 500, 2_000, args.duration_ms)


if __name__ == "__main__":
    main()
