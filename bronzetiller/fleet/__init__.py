"""Membership, messaging and log relay between the nodes of a fleet."""
