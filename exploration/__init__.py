"""Explore the protocols between nodes over every order of their steps, up to a depth."""
