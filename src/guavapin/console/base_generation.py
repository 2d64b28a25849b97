"""The generation from which a set of TOML files was made.

`guavapin get` writes it as a comment, and `guavapin publish` reads it back, so that a
publication is merged with the changes that others have published since.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

_COMMENT = re.compile(r"^# guavapin generation: (\d+)$", re.MULTILINE)


def add_generation(text: str, generation: int) -> str:
    """Return TOML `text` with the comment that names its generation."""
    return f"# guavapin generation: {generation}\n{text}"


def find_generation(path: Path) -> int | None:
    """Return the highest generation named in a file or in a directory's files."""
    files = sorted(path.glob("**/*.toml")) if path.is_dir() else [path]
    numbers = [
        int(match)
        for file in files
        for match in _COMMENT.findall(file.read_text(encoding="utf-8"))
    ]
    return max(numbers, default=None)
