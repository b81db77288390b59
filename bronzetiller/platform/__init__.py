"""Translate between the users' platform and the gateway's own types; nothing here decides."""
