"""Build the one file that the product ships as."""
