"""Jobs that callers submit, and the queues and pools that serve them."""
