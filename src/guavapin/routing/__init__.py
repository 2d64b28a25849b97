"""Choice of an upstream and health of upstreams; pure decisions."""
