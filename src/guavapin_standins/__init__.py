"""Small stand-ins for the systems around guavapin, for tests and the demo."""
