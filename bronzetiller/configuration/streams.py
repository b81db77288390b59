"""Name the log stream of operator records."""

CONFIGURATION_STREAM = "configuration"
