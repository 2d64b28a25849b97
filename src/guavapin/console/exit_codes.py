"""Exit codes of the console commands, for scripts."""

from __future__ import annotations

from enum import IntEnum

HTTP_BAD_REQUEST = 400
HTTP_UNAUTHORIZED = 401
HTTP_FORBIDDEN = 403
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_UNPROCESSABLE = 422
HTTP_GATEWAY_TIMEOUT = 504


class ExitCode(IntEnum):
    """Exit codes; scripts may rely on them."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    CONFLICT = 4
    TIMEOUT = 5


def exit_code_of_status(status: int) -> ExitCode:
    """Return the exit code for an answer of the operators' HTTP interface."""
    if status < HTTP_BAD_REQUEST:
        return ExitCode.DONE
    by_status = {
        HTTP_BAD_REQUEST: ExitCode.BAD_INPUT,
        HTTP_NOT_FOUND: ExitCode.BAD_INPUT,
        HTTP_UNPROCESSABLE: ExitCode.BAD_INPUT,
        HTTP_CONFLICT: ExitCode.CONFLICT,
        HTTP_GATEWAY_TIMEOUT: ExitCode.TIMEOUT,
    }
    return by_status.get(status, ExitCode.REFUSED)
