from __future__ import annotations

import argparse
import io

import pytest

from guavapin.console.client import Answer
from guavapin.console.command import Console
from guavapin.console.commands.status import StatusCommand
from guavapin.console.exit_codes import ExitCode
from guavapin.kernel import Ok


class FakeClient:
    def __init__(self, broken: list[str]) -> None:
        self._body = {
            "generation": 3,
            "author": "ana",
            "broken": broken,
            "entries": [],
            "pools": [],
            "disruptions": [],
            "waves": [],
        }

    def get(self, path: str, query=None) -> Ok[Answer]:
        return Ok(Answer(200, self._body))


@pytest.mark.parametrize(
    ("broken", "code"),
    [([], ExitCode.DONE), (["pool renewals: 0 of 2"], ExitCode.REFUSED)],
)
def test_broken_promise_sets_the_exit_code(broken, code):
    """The exit code was 0 for a broken budget, so a script took it for kept."""
    console = Console(FakeClient(broken), "table", io.StringIO(), io.StringIO())
    assert StatusCommand().run(argparse.Namespace(), console) is code
    is_kept = "all promises kept" in console.stdout.getvalue()
    assert is_kept is not bool(broken)
