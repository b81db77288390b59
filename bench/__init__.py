"""Measure the fleet."""
