"""Serving path of callers' requests: the tasks front, exchanges and upstreams."""
