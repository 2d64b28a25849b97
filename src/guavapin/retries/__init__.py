"""When a request may be sent again; pure decisions."""
