"""Fold operator records into the configuration in force."""
