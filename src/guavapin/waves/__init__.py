"""Planning and running of maintenance waves; pure decisions."""
