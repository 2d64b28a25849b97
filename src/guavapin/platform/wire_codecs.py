"""Codecs of the platform's protocols, as objects that are passed to services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.platform import job_calls
from guavapin.platform import manifest

if TYPE_CHECKING:
    from guavapin.executors.model import Registration
    from guavapin.jobs.calls import BadCall
    from guavapin.jobs.calls import JobAnswer
    from guavapin.jobs.calls import JobCall
    from guavapin.jobs.queues import Queue
    from guavapin.jobs.queues import QueueTable
    from guavapin.jobs.table_faults import UnusableTable
    from guavapin.machines.model import MaintenanceWave
    from guavapin.serving.messages import Headers

# Path at which the platform probes whether a process accepts new connections.
READY_PATH = "/guavapin/ready"


# Headers of callers' requests that are read; others are not kept.
CALL_HEADERS = frozenset((b"host", job_calls.DEADLINE_HEADER, job_calls.KEY_HEADER))


class PlatformTableCodec:
    """Decodes the operator's manifest into a table; never raises."""

    key = manifest.MANIFEST_KEY

    def decode(self, value: bytes) -> QueueTable | UnusableTable:
        """Return the table, or why the value does not come into force."""
        return manifest.decode_manifest(value)


class PlatformRegistryCodec:
    """Decodes the executors' registrations; never raises."""

    prefix = manifest.REGISTRY_PREFIX

    def decode(self, key: str, value: bytes) -> Registration | None:
        """Return a registration, or None if it cannot be used."""
        return manifest.decode_registration(key, value)


class PlatformWaveCodec:
    """Decodes maintenance waves and encodes their statuses; never raises."""

    prefix = manifest.WAVES_PREFIX

    def decode(self, value: bytes) -> MaintenanceWave | None:
        """Return the wave, or None if the value cannot be read."""
        return manifest.decode_wave(value)

    def status_key(self, wave: int) -> str:
        """Return the key under which a wave's status is stored."""
        return f"{manifest.WAVE_STATUS_PREFIX}{wave}"

    def encode_status(self, is_done: bool) -> bytes:
        """Return the value to store as the status of a wave, done or running."""
        return manifest.encode_wave_status(is_done)


class PlatformJobCallCodec:
    """Translates callers' requests and the answers to them; never raises."""

    deadline_header = job_calls.DEADLINE_HEADER
    key_header = job_calls.KEY_HEADER

    def read_key(self, value: str) -> str:
        """Return the key in the value of the key's header, "" if there is none."""
        return job_calls.read_key(value)

    def decode(
        self,
        queue: Queue,
        method: str,
        path: str,
        body: bytes,
        wall_ms: int,
        organisation: str,
    ) -> JobCall | BadCall:
        """Return the call to `queue` in a request that arrived at `wall_ms`."""
        return job_calls.decode_call(queue, method, path, body, wall_ms, organisation)

    def find_job_fault(self, body: bytes) -> str:
        """Return which field of a submission cannot be read and why, "" if all can."""
        return job_calls.find_job_fault(body)

    def encode(self, answer: JobAnswer) -> tuple[int, Headers, bytes]:
        """Return HTTP status, headers and body of an answer."""
        return job_calls.encode_answer(answer)
