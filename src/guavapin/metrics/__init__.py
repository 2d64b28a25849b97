"""Counters and gauges of all tasks."""
