"""Scripted scenarios of whole sites, written in TOML; see `reader`."""
