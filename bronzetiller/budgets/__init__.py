"""Keep every workspace inside its prepaid budget."""
