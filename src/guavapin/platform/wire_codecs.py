"""The platform's protocols as the services of the product need them."""

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
    from guavapin.machines.model import MaintenanceWave
    from guavapin.serving.messages import Headers

# The platform asks this path whether a process takes new connections.
READY_PATH = "/guavapin/ready"


class PlatformTableCodec:
    """Decodes the operator's manifest."""

    key = manifest.MANIFEST_KEY

    def decode(self, value: bytes) -> QueueTable | None:
        """Return the table, None if it cannot be read."""
        return manifest.decode_manifest(value)


class PlatformRegistryCodec:
    """Decodes the executors' registrations."""

    prefix = manifest.REGISTRY_PREFIX

    def decode(self, key: str, value: bytes) -> Registration | None:
        """Return an entry, None if it names no executor to use."""
        return manifest.decode_registration(key, value)


class PlatformWaveCodec:
    """Translates maintenance waves and their statuses."""

    prefix = manifest.WAVES_PREFIX

    def decode(self, value: bytes) -> MaintenanceWave | None:
        """Return a wave, None if it cannot be read."""
        return manifest.decode_wave(value)

    def status_key(self, wave: int) -> str:
        """Return the key of a wave's status."""
        return f"{manifest.WAVE_STATUS_PREFIX}{wave}"

    def encode_status(self, is_done: bool) -> bytes:
        """Return the status of a wave."""
        return manifest.encode_wave_status(is_done)


class PlatformJobCallCodec:
    """Translates callers' requests."""

    deadline_header = job_calls.DEADLINE_HEADER

    def decode(
        self, queue: Queue, method: str, path: str, body: bytes, wall_ms: int
    ) -> JobCall | BadCall:
        """Return what a caller asks of `queue`."""
        return job_calls.decode_call(queue, method, path, body, wall_ms)

    def encode(self, answer: JobAnswer) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of an answer."""
        return job_calls.encode_answer(answer)
