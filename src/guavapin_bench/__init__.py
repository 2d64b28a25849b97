"""Benchmarks whose figures are recorded in ``docs/MEASUREMENTS.md``."""
