"""Admission, claims, billing and crash quarantine of requests."""
