"""Measures the cost of each process by the size of the site, and fits lines to it.

Run as ``python -m guavapin_bench.slopes --seed N``. Entry processes, control processes
and the platform stand-in are separate processes on loopback. ``--quick`` measures fewer
sites for a shorter time.
"""

from __future__ import annotations

import argparse
import json
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from guavapin_bench.slopes_points import Lengths
from guavapin_bench.slopes_points import Point
from guavapin_bench.slopes_points import Row
from guavapin_bench.slopes_points import measure_point
from guavapin_bench.slopes_work import measure_work

POINTS: tuple[Point, ...] = (
    Point(1_100, 47, 8, with_work=True),
    Point(1_100, 47, 32),
    Point(1_100, 47, 16),
    Point(1_100, 47, 4),
    Point(30, 5, 8, is_new=True),
    Point(300, 20, 8, is_new=True),
    Point(1_100, 1, 8),
    Point(1_100, 10, 8),
)
QUICK_POINTS: tuple[Point, ...] = (
    Point(1_100, 47, 8),
    Point(1_100, 47, 4),
    Point(30, 5, 8),
)
QUICK_LENGTHS = Lengths(entries_s=5.0, idle_s=10.0, changes=5)
# Shortens the run; processor times are compared, which do not include waiting.
MAX_PARALLEL_SITES = 3
FITTED_FIGURES = (
    "entry_cpu_percent",
    "serving_loop_cpu_percent",
    "control_loop_cpu_percent",
    "peers_sent_per_s",
    "peers_sent_bytes_per_s",
    "holder_cpu_percent",
)


def fit(points: list[tuple[float, float]]) -> dict[str, float]:
    """Return the least-squares line through `points` and its largest residual."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        return {"constant": mean_y, "slope": 0.0, "residual": 0.0}
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    constant = mean_y - slope * mean_x
    residual = max(abs(y - constant - slope * x) for x, y in points)
    return {"constant": constant, "slope": slope, "residual": residual}


def fit_rows(rows: list[Row]) -> dict[str, dict[str, Any]]:
    """Return line fits of the idle figures over entry processes, hosts and pools."""
    by_size = {
        "entries": [row for row in rows if (row["hosts"], row["pools"]) == (1_100, 47)],
        "hosts": [row for row in rows if row["entries"] == 8 and row["pools"] >= 5],
        "pools": [row for row in rows if (row["hosts"], row["entries"]) == (1_100, 8)],
    }
    by_size["hosts"] = [
        row for row in by_size["hosts"] if row["hosts"] < 1_100 or row["pools"] == 47
    ]
    fits: dict[str, dict[str, Any]] = {}
    for size, matching_rows in by_size.items():
        if len(matching_rows) < 2:
            continue
        fits[size] = {
            name: fit([(row[size], row["idle"][name]) for row in matching_rows])
            for name in FITTED_FIGURES
        }
        for kind in sorted(
            {k for r in matching_rows for k in r["idle"]["platform_per_s"]}
        ):
            fits[size][f"platform_{kind}_per_s"] = fit(
                [
                    (r[size], r["idle"]["platform_per_s"].get(kind, 0.0))
                    for r in matching_rows
                ]
            )
    return fits


def measure(points: tuple[Point, ...], lengths: Lengths, seed: int) -> dict[str, Any]:
    """Return all figures; `MAX_PARALLEL_SITES` sites are measured at a time."""
    work = measure_work()
    with ThreadPoolExecutor(MAX_PARALLEL_SITES) as executor:
        futs = [
            executor.submit(measure_point, point, lengths, seed * 100 + index)
            for index, point in enumerate(points)
        ]
        rows = [fut.result() for fut in futs]
    return {"seed": seed, "sites": rows, "fits": fit_rows(rows), "work": work}


def print_tables(figures: dict[str, Any]) -> None:
    """Print the figures as indented lines."""
    for row in figures["sites"]:
        print(f"\n{row['hosts']} hosts, {row['pools']} pools, {row['entries']} entries")
        _print_nested({k: v for k, v in row.items() if isinstance(v, dict)}, 1)
    for title in ("fits", "work"):
        print(f"\n{title}")
        _print_nested(figures[title], 1)


def _print_nested(values: dict[str, Any], depth: int) -> None:
    for name, value in values.items():
        if not isinstance(value, dict):
            shown = f"{value:.3f}" if isinstance(value, float) else value
            print(f"{'  ' * depth}{name}: {shown}")
        elif any(isinstance(item, dict) for item in value.values()):
            print(f"{'  ' * depth}{name}")
            _print_nested(value, depth + 1)
        else:
            line = ", ".join(
                f"{key} {item:.3f}" if isinstance(item, float) else f"{key} {item}"
                for key, item in value.items()
            )
            print(f"{'  ' * depth}{name}: {line}")


def main() -> None:
    """Measure the sites and print their figures."""
    parser = argparse.ArgumentParser(prog="python -m guavapin_bench.slopes")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", choices=("table", "json"), default="table")
    parser.add_argument("--quick", action="store_true")
    args = parser.parse_args()
    points = QUICK_POINTS if args.quick else POINTS
    lengths = QUICK_LENGTHS if args.quick else Lengths()
    figures = measure(points, lengths, args.seed)
    if args.output == "json":
        print(json.dumps(figures, indent=2))
    else:
        print_tables(figures)


if __name__ == "__main__":
    main()
