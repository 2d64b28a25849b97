"""HTTP client over libcurl, shared by the tasks that send requests."""
