"""Provide the command line."""
