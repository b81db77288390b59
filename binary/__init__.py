"""Build bronzetiller as a single executable file."""
