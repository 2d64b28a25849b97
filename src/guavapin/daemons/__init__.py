"""Entry points of the daemons."""
