"""Serve the HTTP API of a node to its callers."""
