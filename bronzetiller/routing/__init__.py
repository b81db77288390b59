"""Queue requests, select targets and run attempts on them."""
