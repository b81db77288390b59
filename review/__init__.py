"""Show faults that an independent review found, each by a case of its own."""
