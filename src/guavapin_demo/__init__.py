"""Demonstration of routing, moves and maintenance on real sockets."""
