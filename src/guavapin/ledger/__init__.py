"""Durable records of one writer, stored by conditional transactions."""
