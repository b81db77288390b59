"""Enforce the prepaid token budgets of workspaces."""
