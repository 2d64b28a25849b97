"""Entry-host processes keep the promises to callers under random faults."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from guavapin_soak.run import run_soak

REGRESSIONS = Path(__file__).parent / "regressions.toml"

# A seed that has never failed, so that CI runs the soak even without regressions.
FIXED_SEED = 1
LENGTH_MS = 6_000


def test_a_short_run_keeps_every_promise(tmp_path: Path) -> None:
    # Guards against lost jobs, double runs and false answers under random faults.
    result = run_soak(FIXED_SEED, LENGTH_MS, 3, tmp_path)
    assert result.accepted > 0
    # Otherwise the checks of cancelled jobs have judged nothing.
    assert result.stopped > 0
    assert result.violations == ()


@pytest.mark.parametrize(
    "case",
    tomllib.loads(REGRESSIONS.read_text())["case"],
    ids=lambda case: f"seed {case['seed']}",
)
def test_a_seed_that_failed_before_passes(case: dict, tmp_path: Path) -> None:
    # Guards against the cause that the case names.
    result = run_soak(case["seed"], case["length_ms"], case["hosts"], tmp_path)
    assert result.violations == ()
