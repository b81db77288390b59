"""Benchmarks of the router fleet."""
