"""Errors in a script are reported with file, table, key and the expected value."""

from __future__ import annotations

import pytest

from guavapin_scenarios.__main__ import main
from guavapin_scenarios.model import Scenario
from guavapin_scenarios.reader import parse_scenario

HEAD = 'name = "n"\nabout = "a"\n[site]\nlike = "gagnon"\n'
CHECK = '[[check]]\nthat = "the guarantees hold"\n'


def faults_of(text: str) -> list[str]:
    found = parse_scenario(text, "x.toml")
    assert not isinstance(found, Scenario)
    return [str(fault) for fault in found]


def test_valid_script_is_read():
    step = '[[step]]\nat_s = 1.5\ndo = "lose rack"\nrack = "gaspe-r1"\n'
    scenario = parse_scenario(HEAD + step + CHECK, "x.toml")
    assert isinstance(scenario, Scenario), scenario
    assert scenario.steps[0].at_ms == 1_500
    assert scenario.steps[0].step.rack == "gaspe-r1"
    assert scenario.site.seats == (3, 2, 2)


# Readers of this kind once accepted each of these texts, or failed with a traceback.
@pytest.mark.parametrize(
    ("text", "parts"),
    [
        (HEAD + CHECK + '[[step]]\ndo = "burn"\n', ["[step.0] do = 'burn'", "one of"]),
        (HEAD + CHECK + '[[step]]\ndo = "lose rack"\n', ["[step.0] rack", "missing"]),
        (
            HEAD + CHECK + '[[step]]\ndo = "wake duty holder"\nwho = "x"\n',
            ["[step.0] who", "no further key"],
        ),
        (
            HEAD + CHECK + '[[step]]\nat_s = -1\ndo = "wake duty holder"\n',
            ["[step.0] at_s = -1", "a number from 0 to 600"],
        ),
        (
            HEAD + CHECK + '[[step]]\ndo = "begin load"\nload = "day"\n',
            ["[step.0] load = 'day'", "one of the loads none"],
        ),
        (
            HEAD + CHECK + '[[step]]\ndo = "wait until"\nstate = "sunny"\n',
            ["[step.0] state = 'sunny'", "wave is"],
        ),
        (HEAD + '[[check]]\nthat = "all is well"\n', ["[check.0] that", "one of"]),
        (HEAD, ["[check]", "at least one table [[check]]"]),
        (HEAD + CHECK + "[load.day]\nrun_ms = 0\n", ["[load.day] run_ms = 0"]),
        (HEAD + CHECK + "[weather]\n", ["[weather]", "one of the tables"]),
        (HEAD + CHECK + "step = 3\n", ["x.toml"]),
        (
            HEAD.replace('"gagnon"', '"gagnon"\nzones = ["a", "b"]\nseats = [1]')
            + CHECK,
            ["[site] seats", "2 integers from 1 to 8"],
        ),
        (
            HEAD + CHECK + "[objects.maintenance_wave.w]\nmax_at_once = 0\n",
            ["[objects.maintenance_wave.w] max_at_once = 0", "an integer"],
        ),
        ("name = ", ["x.toml", "TOML in UTF-8"]),
    ],
)
def test_error_names_place_and_expectation(text, parts):
    faults = faults_of(text)
    for part in parts:
        assert any(part in fault for fault in faults), faults
    assert all(fault.startswith("x.toml: ") for fault in faults)


def test_all_errors_are_reported_at_once():
    text = HEAD + '[[step]]\ndo = "burn"\n[[check]]\nthat = "fine"\n'
    assert len(faults_of(text)) == 2


def test_command_ends_with_2_for_a_bad_script(tmp_path, capsys):
    path = tmp_path / "bad.toml"
    path.write_text(HEAD, encoding="utf-8")
    assert main([str(path)]) == 2
    assert "bad.toml: [check]" in capsys.readouterr().err


def test_command_ends_with_2_for_a_missing_file(tmp_path, capsys):
    assert main([str(tmp_path / "none.toml")]) == 2
    assert "a readable file" in capsys.readouterr().err
