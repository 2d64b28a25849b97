"""Scripted scenarios for whole sites, written in TOML; see `reader` for the format."""
