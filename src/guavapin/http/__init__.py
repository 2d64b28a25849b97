"""HTTP plumbing shared by the tasks that send requests."""
