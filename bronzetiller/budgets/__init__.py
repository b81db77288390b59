"""Enforcement of prepaid token budgets of workspaces."""
