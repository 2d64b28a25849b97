"""Named objects that operators edit, their TOML form and their consistency check."""
