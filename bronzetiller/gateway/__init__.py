"""Serve path routes by forwarding callers' requests to targets."""
