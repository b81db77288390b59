"""Define the protocol between nodes."""
