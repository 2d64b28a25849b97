"""Client of the platform's key-value service and of its list of hosts."""
