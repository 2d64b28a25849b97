"""HTTP client of the operators' interface, over pycurl."""

from __future__ import annotations

import io
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import urlencode

import msgspec
import pycurl

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavapin.kernel.outcome import Outcome

CONNECT_TIMEOUT_MS = 3_000


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and decoded JSON body of an answer."""

    status: int
    body: Any


@dataclass(frozen=True, slots=True)
class OperatorsClient:
    """Calls one entry host's operators' interface.

    `base_url` is for example ``http://127.0.0.1:7081``; `token` is sent as a bearer
    token; `ca_file`, `cert_file` and `key_file` configure TLS.
    """

    base_url: str
    token: str = ""
    ca_file: str = ""
    cert_file: str = ""
    key_file: str = ""
    timeout_ms: int = 30_000

    def get(self, path: str, query: Mapping[str, str] | None = None) -> Outcome[Answer]:
        """Read `path`; `query` values are encoded."""
        suffix = f"?{urlencode(query)}" if query else ""
        return self._call("GET", path + suffix, None)

    def query(
        self, path: str, query: Mapping[str, str], body: bytes
    ) -> Outcome[Answer]:
        """Read `path` with a body that describes what is queried, if not empty."""
        return self._call("GET", f"{path}?{urlencode(query)}", body or None)

    def post(self, path: str, body: object) -> Outcome[Answer]:
        """Send `body` as JSON to `path`."""
        return self._call("POST", path, msgspec.json.encode(body))

    def _call(self, method: str, path: str, body: bytes | None) -> Outcome[Answer]:
        received = io.BytesIO()
        curl = pycurl.Curl()
        try:
            self._configure(curl, method, path, body)
            curl.setopt(pycurl.WRITEDATA, received)
            curl.perform()
            status = curl.getinfo(pycurl.RESPONSE_CODE)
        except pycurl.error as exc:
            return _refusal_of(exc, self.base_url)
        finally:
            curl.close()
        return _decode_answer(status, received.getvalue())

    def _configure(
        self, curl: pycurl.Curl, method: str, path: str, body: bytes | None
    ) -> None:
        curl.setopt(pycurl.URL, self.base_url.rstrip("/") + path)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.TIMEOUT_MS, self.timeout_ms)
        headers = ["Content-Type: application/json"]
        if self.token:
            headers.append(f"Authorization: Bearer {self.token}")
        curl.setopt(pycurl.HTTPHEADER, headers)
        if body is not None:
            curl.setopt(pycurl.POSTFIELDS, body)
        for option, value in (
            (pycurl.CAINFO, self.ca_file),
            (pycurl.SSLCERT, self.cert_file),
            (pycurl.SSLKEY, self.key_file),
        ):
            if value:
                curl.setopt(option, value)


def _decode_answer(status: int, body: bytes) -> Outcome[Answer]:
    try:
        return Ok(Answer(status, msgspec.json.decode(body) if body else None))
    except msgspec.DecodeError:
        text = body[:200].decode("utf-8", "replace")
        return Refused(Reason.BAD_INPUT, f"answer {status} is not JSON: {text!r}")


def _refusal_of(exc: pycurl.error, base_url: str) -> Refused:
    code, text = exc.args[0], exc.args[1]
    if code == pycurl.E_OPERATION_TIMEDOUT:
        return Refused(Reason.TIMEOUT, f"{base_url}: {text}")
    return Refused(Reason.UNREACHABLE, f"{base_url}: {text}")
