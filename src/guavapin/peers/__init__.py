"""Messages between entry processes and their membership."""
