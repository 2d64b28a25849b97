"""Every script in `scenarios` passes, or is listed in KNOWN-RED.txt and printed."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
SCRIPTS = sorted((ROOT / "scenarios").glob("*.toml"))
SEED = "1"
# Scripts mostly wait, so several can share a few cores.
AT_ONCE = 4
TIMEOUT_S = 200


@pytest.fixture(scope="module")
def runs():
    """Start each script in a process of its own, `AT_ONCE` at a time."""
    with ThreadPoolExecutor(AT_ONCE) as executor:
        futs = {path.name: executor.submit(run_script, path) for path in SCRIPTS}
        yield futs
        for fut in futs.values():
            fut.cancel()


def run_script(path: Path) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "guavapin_scenarios", str(path)]
    return subprocess.run(
        [*command, "--seed", SEED, "--output", "json"],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        check=False,
    )


def is_known_red(name: str) -> bool:
    text = (ROOT / "KNOWN-RED.txt").read_text(encoding="utf-8")
    return f"scenarios/{name} " in text


@pytest.mark.parametrize("name", [path.name for path in SCRIPTS])
def test_script_holds(name, runs, capsys):
    done = runs[name].result()
    if done.returncode == 0:
        return
    shown = describe(done)
    if done.returncode == 1 and is_known_red(name):
        with capsys.disabled():
            print(f"\nknown red: scenarios/{name}: {shown}")
        pytest.xfail("listed in KNOWN-RED.txt")
    pytest.fail(shown)


def describe(done: subprocess.CompletedProcess[str]) -> str:
    if not done.stdout:
        return done.stderr[-2_000:]
    (report,) = json.loads(done.stdout)
    steps = [item for item in report["steps"] if not item["is_ok"]]
    checks = [item for item in report["checks"] if item["faults"]]
    return json.dumps([report["failure"], report["answers"], *steps, *checks])
