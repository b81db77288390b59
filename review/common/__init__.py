"""Stand-ins and callers that several cases share."""
