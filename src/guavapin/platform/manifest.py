"""Codecs of the operator's manifest and waves, and of executors' registrations."""

from __future__ import annotations

import msgspec

from guavapin.executors.model import Registration
from guavapin.http.address import is_address
from guavapin.http.address import is_header_value
from guavapin.jobs.caller_limits import CallerLimits
from guavapin.jobs.limits import MAX_NUMBER
from guavapin.jobs.model import Resources
from guavapin.jobs.organisations import Organisation
from guavapin.jobs.organisations import key_digest
from guavapin.jobs.queues import Pool
from guavapin.jobs.queues import Queue
from guavapin.jobs.queues import QueueTable
from guavapin.jobs.table_faults import UnusableTable
from guavapin.jobs.table_faults import find_organisation_fault
from guavapin.jobs.terms import AdviceTerms
from guavapin.machines.model import MaintenanceWave
from guavapin.platform.bodies import WireInt
from guavapin.platform.bodies import WireNumber
from guavapin.platform.bodies import decode_body
from guavapin.platform.bodies import encode_body

MANIFEST_KEY = "op/config"
WAVES_PREFIX = "op/wave/"
REGISTRY_PREFIX = "servers/"
WAVE_STATUS_PREFIX = "status/wave/"


class _Hint(msgspec.Struct, rename="kebab", frozen=True):
    decide_ms: float = 0
    per_worker_ms: float = 0
    validity_ms: float = 0


class _Route(msgspec.Struct, rename="kebab", frozen=True):
    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    # Not the timeout of a call: a job's latency objective is the sum of this field and
    # `stretch` times the job's work.
    latency_slo_ms: float = 0
    hint: _Hint | None = None
    public: bool = False


class _Service(msgspec.Struct, rename="kebab", frozen=True):
    name: str
    # Whether executors refuse a start for which they lack resources.
    rejects_overload: bool = False
    standby: bool = False


class _Cap(msgspec.Struct, rename="kebab", frozen=True):
    cpu: float = 0
    mem_mb: float = 0
    gpus: float = 0


class _Tenant(msgspec.Struct, rename="kebab", frozen=True):
    name: str
    api_keys: list[str] = []
    weight: float = 0
    cap: _Cap = _Cap()


class _Limits(msgspec.Struct, rename="kebab", frozen=True):
    max_header_bytes: float = 0
    max_body_bytes: float = 0
    header_timeout_ms: float = 0
    idle_timeout_ms: float = 0


class _Manifest(msgspec.Struct, rename="kebab", frozen=True):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = _Limits()


class Capacity(msgspec.Struct, rename="kebab", frozen=True):
    """Resources of a machine in the platform's protocols."""

    cpu: WireNumber = 0
    mem_mb: WireNumber = 0
    gpus: WireNumber = 0

    def to_resources(self) -> Resources:
        """Return the resources in the product's units."""
        return Resources(int(self.cpu), int(self.mem_mb), int(self.gpus))


class _Server(msgspec.Struct, rename="kebab", frozen=True):
    service: str
    address: str
    zone: str
    state: str
    capacity: Capacity
    labels: list[str]
    born: WireInt = 0
    clock_ms: WireNumber = 0


class _Wave(msgspec.Struct, rename="kebab", frozen=True):
    # Number of the wave, not a stage of it.
    phase: WireInt
    machines: list[str]
    duration_s: WireNumber
    cap: int = 1


def decode_manifest(value: bytes) -> QueueTable | UnusableTable:
    """Return the table of a manifest, or why it cannot be used."""
    manifest = decode_body(value, _Manifest)
    if manifest is None:
        return UnusableTable("it is not a manifest")
    fault = find_organisation_fault(
        (tenant.name, tuple(tenant.api_keys)) for tenant in manifest.tenants
    )
    if fault:
        return UnusableTable(fault)
    return QueueTable(
        manifest.version,
        tuple(_decode_queue(route) for route in manifest.routes),
        tuple(
            Pool(service.name, service.rejects_overload, service.standby)
            for service in manifest.services
        ),
        tuple(_decode_organisation(tenant) for tenant in manifest.tenants),
        _decode_limits(manifest.limits),
    )


def decode_registration(key: str, value: bytes) -> Registration | None:
    """Return an executor's registration, or None if it cannot be used.

    An entry cannot be used if it is malformed, if its state is neither ready nor
    draining, or if a call cannot carry its id or address. Other writers may leave such
    entries in the registry.
    """
    entry = decode_body(value, _Server)
    executor_id = key.removeprefix(REGISTRY_PREFIX)
    if entry is None or entry.state not in ("ready", "draining"):
        return None
    if not executor_id or not is_header_value(executor_id):
        return None
    if not is_address(entry.address):
        return None
    return Registration(
        executor_id=executor_id,
        born_ms=entry.born,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        is_draining=entry.state == "draining",
        capacity=entry.capacity.to_resources(),
        labels=tuple(entry.labels),
        rack=rack_of(entry.labels),
        clock_ms=int(entry.clock_ms),
    )


def decode_wave(value: bytes) -> MaintenanceWave | None:
    """Return a wave, or None if it cannot be read."""
    wave = decode_body(value, _Wave)
    if wave is None:
        return None
    duration_ms = int(wave.duration_s * 1_000)
    machines = tuple(wave.machines)
    return MaintenanceWave(wave.phase, machines, duration_ms, max(wave.cap, 1))


def encode_wave_status(is_done: bool) -> bytes:
    """Return the status of a wave that the operator reads."""
    return encode_body({"state": "succeeded" if is_done else "running"})


def rack_of(labels: list[str]) -> str:
    """Return the second of an executor's labels, its rack, or "" if there is none.

    The first label is the executor's kind.
    """
    return labels[1] if len(labels) > 1 else ""


def _decode_queue(route: _Route) -> Queue:
    hint = route.hint
    advice = None
    if hint is not None:
        times = (hint.decide_ms, hint.per_worker_ms, hint.validity_ms)
        advice = AdviceTerms(*(int(_bounded(time)) for time in times))
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=route.service,
        priority=route.priority,
        attempts=max(route.attempts, 1),
        stretch=_bounded(route.stretch),
        latency_objective_ms=int(_bounded(route.latency_slo_ms)),
        advice=advice,
        is_public=route.public,
    )


def _decode_organisation(tenant: _Tenant) -> Organisation:
    cap = tenant.cap
    return Organisation(
        tenant.name,
        _bounded(tenant.weight),
        Resources(*(int(_bounded(n)) for n in (cap.cpu, cap.mem_mb, cap.gpus))),
        frozenset(key_digest(key) for key in tenant.api_keys),
    )


def _decode_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        int(_bounded(limits.max_header_bytes)),
        int(_bounded(limits.max_body_bytes)),
        int(_bounded(limits.header_timeout_ms)),
        int(_bounded(limits.idle_timeout_ms)),
    )


def _bounded(number: float) -> float:
    """Return the number of a manifest, limited to the range of other bodies.

    A manifest with a number out of range is still the one that the operator wants; a
    process that left it out would serve no caller after its next start.
    """
    return min(max(number, 0.0), float(MAX_NUMBER))
