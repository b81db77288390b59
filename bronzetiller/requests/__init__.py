"""Decide whether and how often a request may run."""
