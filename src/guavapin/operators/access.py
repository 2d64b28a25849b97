"""Authentication of calls to the operators' interface."""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from guavapin.kernel.outcome import Outcome

MIN_TOKEN_CHARS = 16
BEARER = "Bearer "


@dataclass(frozen=True, slots=True)
class AccessPolicy:
    """Tokens by operator name; without tokens the TLS client certificate decides."""

    tokens: tuple[tuple[str, str], ...] = ()
    requires_certificate: bool = False

    def authenticate(self, authorization: str) -> Outcome[str]:
        """Return the operator's name for an Authorization header.

        All tokens are compared in constant time, so that the time of a refusal does
        not reveal how much of a token matched.
        """
        if not self.tokens and self.requires_certificate:
            return Ok("certificate")
        given = authorization.removeprefix(BEARER).encode()
        found = ""
        for name, token in self.tokens:
            if hmac.compare_digest(token.encode(), given):
                found = name
        if not found:
            return Refused(Reason.FORBIDDEN, "a valid bearer token is required")
        return Ok(found)


def load_tokens(path: str) -> Outcome[tuple[tuple[str, str], ...]]:
    """Read lines of ``NAME TOKEN``; a token has at least `MIN_TOKEN_CHARS`."""
    try:
        lines = Path(path).read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as exc:
        return Refused(Reason.BAD_INPUT, f"token file {path}: {exc}")
    tokens = []
    for number, line in enumerate(lines, 1):
        fields = line.split()
        if not fields or fields[0].startswith("#"):
            continue
        if len(fields) != 2 or len(fields[1]) < MIN_TOKEN_CHARS:
            expected = f"NAME TOKEN with a token of {MIN_TOKEN_CHARS} characters"
            return Refused(
                Reason.BAD_INPUT, f"token file {path}, line {number}: {expected}"
            )
        tokens.append((fields[0], fields[1]))
    return Ok(tuple(tokens))
