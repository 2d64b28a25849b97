"""The account of the answers that one client collects at once."""

from __future__ import annotations

# Default for processes whose memory is not known: eight answers of the largest size.
DEFAULT_ANSWER_BYTES = 32 * 1024 * 1024


class AnswerMemory:
    """Limits the bytes of all unfinished answers of a client to `budget_bytes`.

    Each answer has a limit of its own, but a process may have hundreds in progress,
    and another process decides how long they are.
    """

    def __init__(self, budget_bytes: int = DEFAULT_ANSWER_BYTES) -> None:
        self.held_bytes = 0
        self._budget_bytes = budget_bytes

    def take(self, length: int) -> bool:
        """Count further bytes of an answer; returns False if there is no room."""
        if self.held_bytes + length > self._budget_bytes:
            return False
        self.held_bytes += length
        return True

    def release(self, length: int) -> None:
        """Stop counting the bytes of an answer that has ended."""
        self.held_bytes -= length
