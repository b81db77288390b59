"""Run gateway processes under random faults and verify what callers and targets observe."""
