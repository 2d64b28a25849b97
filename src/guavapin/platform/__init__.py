"""Codecs between the product's messages and the protocols of the users' platform."""
