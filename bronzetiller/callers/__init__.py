"""Serve the HTTP interface of callers."""
