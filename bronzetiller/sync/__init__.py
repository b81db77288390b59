"""Decide how a node stays up to date with the store: what to ask, whom and when; no I/O."""
