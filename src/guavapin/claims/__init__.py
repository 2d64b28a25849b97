"""At-most-once execution of requests with an idempotency key."""
