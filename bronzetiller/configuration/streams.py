"""Name the stream of the log that carries operator records."""

CONFIGURATION_STREAM = "configuration"
