"""Duties under leases with fencing tokens."""
