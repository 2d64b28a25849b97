"""One module per console command."""
