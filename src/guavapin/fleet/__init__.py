"""The fleet record and the pure commands that change it."""
