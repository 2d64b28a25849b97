"""Executors on the hosts: their registrations and reports, and the orders to them."""
