"""Imitate the systems around the fleet for tests and demonstrations."""
