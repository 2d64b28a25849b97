"""Demonstration of the main job on real sockets."""
