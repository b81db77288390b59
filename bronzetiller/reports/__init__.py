"""Tell operators what the fleet has accepted, where it is in force and what budgets hold."""
