"""Ports of processes on loopback."""

from __future__ import annotations

import socket

from guavapin_standins.ports import free_ports

SYSTEM_RANGE_BEGIN = 32_768


def test_ports_are_below_the_range_of_ephemeral_ports():
    # Another socket can take an ephemeral port before its process listens, and the
    # start then fails with "Address in use".
    ports = free_ports(28)
    assert len(set(ports)) == 28
    assert max(ports) < SYSTEM_RANGE_BEGIN


def test_a_port_in_use_is_not_returned():
    first = free_ports(1)[0]
    with socket.create_server(("127.0.0.1", first)):
        assert first not in free_ports(28)
