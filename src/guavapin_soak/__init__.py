"""A soak test with random faults on complete entry-host processes of one machine."""
