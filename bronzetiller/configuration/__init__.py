"""Build the configuration in force from the records that operators publish."""
