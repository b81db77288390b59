"""Translate between the users' platform and the gateway's types, without any decisions."""
