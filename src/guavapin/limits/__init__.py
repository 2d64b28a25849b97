"""Slots, queues, quotas and adaptive concurrency; pure decisions."""
