"""Scheduling: decides which subtask starts on which host, and when."""
