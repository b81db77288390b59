"""Admit, claim, bill and quarantine requests."""
