"""The path of a caller's request: front, exchanges, upstreams."""
