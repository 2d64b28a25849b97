"""Machines: moves between pools and maintenance waves."""
