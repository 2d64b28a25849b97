"""Stand-ins of the systems around guavapin, for tests, demo and benchmarks."""
