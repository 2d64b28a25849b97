"""Publication of the object set as one generation."""
