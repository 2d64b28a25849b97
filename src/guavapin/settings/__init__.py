"""Settings of the processes, read from TOML."""
