"""Ports of an embedded site."""

from __future__ import annotations

import socket

from guavapin_demo.ports import free_ports

SYSTEM_RANGE_BEGIN = 32_768


def test_ports_of_processes_are_outside_the_range_of_the_system():
    # A port from the system's range was taken by another socket before its process
    # listened, and the start failed with "Address in use".
    ports = free_ports(28)
    assert len(set(ports)) == 28
    assert max(ports) < SYSTEM_RANGE_BEGIN


def test_port_in_use_is_left_out():
    first = free_ports(1)[0]
    with socket.create_server(("127.0.0.1", first)):
        assert first not in free_ports(28)
