"""Connect the nodes of a fleet."""
