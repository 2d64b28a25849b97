"""Reports to operators on the state of the fleet; pure."""
