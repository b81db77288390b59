"""Measure the fleet on one machine; every figure of a run comes with its baseline."""
