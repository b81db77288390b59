"""Carry HTTP over circuits sockets."""
