"""Intake of callers' requests about jobs, and their forwarding to the scheduler."""
