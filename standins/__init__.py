"""Stand-ins for the systems that the fleet depends on, for tests, benchmarks and the demo."""
