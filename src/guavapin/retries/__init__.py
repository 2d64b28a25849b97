"""Retry decisions: policy, backoff, budget and hedging; pure functions."""
