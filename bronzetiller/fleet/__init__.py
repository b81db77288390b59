"""Track the nodes of a fleet, exchange messages and relay the log between them."""
