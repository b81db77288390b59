"""Speak to the platform's log service and VM list."""
