"""Parser of the settings file that the platform writes for each entry host."""

from __future__ import annotations

from dataclasses import dataclass

from guavapin.http.address import MAX_PORT
from guavapin.kernel.decimal import parse_decimal
from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.settings.resident import KeyTerms
from guavapin.settings.resident import ResidentSettings
from guavapin.settings.resident import Times

# Largest values of the limits of a process: a terabyte of memory, the highest number of
# descriptors that Linux allows by default, and a body of 256 KB in a fifth of a second.
MAX_MEMORY_MB = 1_048_576
MAX_FDS = 1_048_576
MAX_BODY_RATE = 1_000_000


@dataclass(frozen=True, slots=True)
class _Fields:
    """Fields of the file by name; reading a malformed field adds to `faults`."""

    values: dict[str, str]
    faults: list[str]

    def text(self, name: str, default: str | None = None) -> str:
        value = self.values.get(name, default)
        if not value and default is None:
            self.faults.append(f"{name}: is missing, expected a value")
        return value or ""

    def number(
        self, name: str, scale: float = 1.0, default: float | None = None
    ) -> int:
        text = self.values.get(name)
        if text is None and default is not None:
            return round(default * scale)
        try:
            return round(float(text or "") * scale)
        except (ValueError, OverflowError):
            self.faults.append(f"{name}: is {text!r}, expected a number")
            return 0

    def limit(self, name: str, default: int, highest: int) -> int:
        """Return a number from 0 to `highest`."""
        number = self.number(name, default=default)
        if not 0 <= number <= highest:
            self.faults.append(f"{name}: is {number}, expected 0 to {highest}")
        return number

    def address(self, name: str) -> tuple[str, int]:
        host, _, port = self.text(name).rpartition(":")
        number = parse_decimal(port)
        if not host or number is None or number > MAX_PORT:
            self.faults.append(f"{name}: is {host}:{port}, expected HOST:PORT")
            return "", 0
        return host, number

    def flag(self, name: str) -> bool:
        """Return a flag, False if it is missing."""
        text = self.values.get(name, "false").lower()
        if text not in ("true", "false"):
            self.faults.append(f"{name}: is {text!r}, expected true or false")
        return text == "true"

    def ports(self, name: str) -> tuple[int, int]:
        first, _, last = self.text(name).partition(",")
        first_port, last_port = parse_decimal(first), parse_decimal(last)
        if first_port is None or last_port is None:
            self.faults.append(f"{name}: is {first},{last}, expected FIRST,LAST")
            return 0, 0
        return first_port, last_port


def parse_settings(text: str) -> Outcome[ResidentSettings]:
    """Return the settings, or a refusal that lists all faults, one on each line.

    Unknown fields are ignored, since later versions of the platform may add some.
    """
    values: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            values[name.strip()] = value.strip()
    fields = _Fields(values, [])
    seconds = 1_000.0
    settings = ResidentSettings(
        node=fields.text("node"),
        zone=fields.text("zone"),
        front=fields.address("listen.front"),
        ready=fields.address("listen.ready"),
        peer=(fields.text("ip"), fields.ports("port-range")[0]),
        store=fields.text("platform.address"),
        machines=fields.text("cloud.address", ""),
        advice=fields.text("hint", ""),
        store_writes_per_second=fields.number("platform.writes-per-s"),
        store_reads_per_second=fields.number("platform.reads-per-s"),
        machine_orders_per_second=fields.number("cloud.duty-per-s", default=8),
        times=Times(
            grace_ms=fields.number("bounds.grace-s", seconds),
            max_lease_ms=fields.number("bounds.max-hold-ms"),
            stop_ms=fields.number("bounds.stop-timeout-ms"),
            move_ms=fields.number("bounds.migrate-s", seconds, default=2),
            maintenance_ms=fields.number("bounds.maintenance-s", seconds, default=2),
            order_separation_ms=fields.number("bounds.lease-ms", default=3_000)
            + fields.number("bounds.thaw-slack-ms", default=300),
            notice_ms=fields.number("bounds.notice-ms", default=4_500),
            max_target_miss_ms=fields.number("bounds.harm-ms", default=4_000),
            pace_ms=fields.number("bounds.pace-ms", default=100),
            ended_job_retention_ms=fields.number("bounds.status_s", seconds),
            early_ms=fields.number("bounds.early_ms", default=0),
            restore_ms=fields.number("bounds.restore-ms", default=0),
            heartbeat_ms=fields.number("heartbeat-ms", default=1_500),
            gang_timeout_ms=fields.number("bounds.gang-timeout-ms", default=3_000),
        ),
        # The share of one core, times the factor by which that core is faster.
        cores=fields.number("limits.cpu-share", 1_000, 0)
        * fields.number("limits.cores", 1_000, 1)
        / 1_000_000,
        link_mbps=fields.number("limits.link-mbps", default=0),
        memory_mb=fields.limit("limits.memory-mb", 0, MAX_MEMORY_MB),
        max_fds=fields.limit("limits.max-fds", 0, MAX_FDS),
        clients_mb=fields.limit("limits.clients-mb", 0, MAX_MEMORY_MB),
        min_body_bytes_per_s=fields.limit(
            "limits.min-body-bytes-per-s", 1_000, MAX_BODY_RATE
        ),
        requires_keys="tenants" in fields.text("contracts", "").split(","),
        key_terms=KeyTerms(
            fields.flag("bounds.strict-revoke"),
            fields.number("bounds.revoke-ms", default=5_000),
        ),
        quota_window_ms=fields.number("bounds.quota-window-s", seconds, default=5),
    )
    if fields.faults:
        return Refused(Reason.BAD_INPUT, "\n".join(fields.faults))
    return Ok(settings)
