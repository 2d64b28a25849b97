"""Checks of the routing keys of services: path prefixes and host names."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.objects.model import Fault

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavapin.objects.model import ObjectSet
    from guavapin.objects.model import Service


def check_services(objects: ObjectSet) -> Iterator[Fault]:
    """Report services without a prefix or host name, and services that overlap.

    Prefixes overlap if one covers the other by whole segments: ``/a`` covers
    ``/a/b`` and ``/a/`` but not ``/ab``. Host names are compared case-insensitively.
    """
    services = sorted(objects.services.items())
    prefixes: dict[tuple[str, ...], str] = {}
    for name, service in services:
        if not service.path_prefix and not service.host_names:
            expected = "a path prefix or host names"
            yield Fault("service", name, "path_prefix", "empty", expected)
        if service.path_prefix:
            prefixes.setdefault(segments(service.path_prefix), name)
    for name, service in services:
        yield from _check_prefix(name, service, prefixes)
    yield from _check_host_names(services)


def segments(prefix: str) -> tuple[str, ...]:
    """Return the segments of a path prefix; a trailing slash makes no difference."""
    return tuple(part for part in prefix.split("/") if part)


def _check_prefix(
    name: str, service: Service, prefixes: dict[tuple[str, ...], str]
) -> Iterator[Fault]:
    if not service.path_prefix:
        return
    parts = segments(service.path_prefix)
    for length in range(len(parts) + 1):
        owner = prefixes.get(parts[:length], name)
        if owner != name:
            expected = f"a prefix that does not overlap with service {owner!r}"
            yield Fault(
                "service", name, "path_prefix", repr(service.path_prefix), expected
            )


def _check_host_names(services: list[tuple[str, Service]]) -> Iterator[Fault]:
    owners: dict[str, str] = {}
    for name, service in services:
        seen: set[str] = set()
        for host_name in service.host_names:
            key = host_name.lower()
            owner = owners.setdefault(key, name)
            if owner != name or key in seen:
                expected = f"a host name used once, service {owner!r} has it"
                yield Fault("service", name, "host_names", repr(host_name), expected)
            seen.add(key)
