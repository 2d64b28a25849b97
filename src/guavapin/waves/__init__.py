"""Decisions on maintenance waves and planned disruptions; pure."""
