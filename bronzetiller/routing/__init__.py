"""Queueing of requests, selection of targets, and attempts on them."""
