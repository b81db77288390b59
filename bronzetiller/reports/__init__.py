"""Report accepted records, where they are in force, and budgets to operators."""
