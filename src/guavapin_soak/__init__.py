"""A randomized fault soak of whole entry-host processes on one machine."""
