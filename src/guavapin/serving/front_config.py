"""Settings of the task `front`."""

from __future__ import annotations

import ssl
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FrontConfig:
    """Address, limits and TLS files of the callers' listener.

    `idle_timeout_ms` limits the time between requests, between parts of a request's
    body and between two writes that make progress. `header_timeout_ms` limits the time
    from the first byte of a head to its end. An empty health or ready path disables
    that answer.

    `max_body_bytes` limits a body that the service behind the front collects, and
    `min_body_bytes_per_s` the rate at which it arrives; 0 means no limit. With
    `holds_bodies` the service keeps a body until the answer, so that it counts as held
    by the connection, and nothing runs before the body is complete. All connections
    hold at most `held_bytes`. Headers that are not in `kept_headers` are dropped; None
    keeps all. `receive_buffer_bytes` limits what the kernel holds unread for a
    connection; 0 leaves the size to the kernel.
    """

    address: str = "127.0.0.1"
    port: int = 0
    max_connections: int = 2_048
    max_head_bytes: int = 32_768
    idle_timeout_ms: int = 60_000
    header_timeout_ms: int = 10_000
    certificate_file: str = ""
    key_file: str = ""
    health_path: str = "/healthz"
    ready_path: str = "/readyz"
    max_body_bytes: int = 0
    min_body_bytes_per_s: int = 0
    holds_bodies: bool = False
    held_bytes: int = 64 * 1024 * 1024
    kept_headers: frozenset[bytes] | None = None
    receive_buffer_bytes: int = 0


def tls_context(cfg: FrontConfig) -> ssl.SSLContext | None:
    """Return the TLS context, None without a certificate; raises OSError on bad files.

    Errors of the TLS layer are subclasses of OSError.
    """
    if not cfg.certificate_file:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(cfg.certificate_file, cfg.key_file or None)
    return context
