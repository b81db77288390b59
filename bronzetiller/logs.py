"""Log events as lines of key=value pairs."""

import logging
import os
import sys
import time
from typing import Any

_LOGGER = logging.getLogger("bronzetiller")


BURST_SECONDS = 2.0  # a burst may contain the lines of this time at the full rate


class BoundedHandler(logging.Handler):
    """Write lines to a non-blocking file descriptor at a limited rate; count dropped lines."""

    def __init__(self, descriptor: int, lines_per_second: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rate = lines_per_second
        self._tokens = BURST_SECONDS * lines_per_second
        self._refilled_at = time.monotonic()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        now = time.monotonic()
        tokens_max = BURST_SECONDS * self._rate
        self._tokens = min(tokens_max, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now
        if self._tokens < 1:
            self.dropped += 1
            return
        line = self.format(record)
        if self.dropped:
            line = f"{line} dropped_before={self.dropped}"
        try:
            os.write(self._descriptor, line.encode() + b"\n")
        except OSError:  # the pipe is full or closed; the next line reports the count
            self.dropped += 1
            return
        self._tokens -= 1
        self.dropped = 0


def configure_bounded_logging(node_id: str, level: str, lines_per_second: int) -> None:
    """Log to standard output at a limited rate and without blocking."""
    _configure(BoundedHandler(sys.stdout.fileno(), lines_per_second), node_id, level)


def configure_logging(node_id: str, level: str = "INFO") -> None:
    """Log to standard error."""
    _configure(logging.StreamHandler(sys.stderr), node_id, level)


def _configure(log_handler: logging.Handler, node_id: str, level: str) -> None:
    line_format = f"time=%(asctime)s.%(msecs)03d level=%(levelname)s node={node_id} %(message)s"
    log_handler.setFormatter(logging.Formatter(line_format, "%Y-%m-%dT%H:%M:%S"))
    _LOGGER.handlers[:] = [log_handler]
    _LOGGER.setLevel(level)
    _LOGGER.propagate = False


def log_event(event: str, *, level: int = logging.INFO, **fields: Any) -> None:
    """Log an event with its fields as key=value pairs."""
    if _LOGGER.isEnabledFor(level):
        pairs = [f"event={event}", *(f"{key}={_quote(value)}" for key, value in fields.items())]
        _LOGGER.log(level, " ".join(pairs))


def _quote(value: Any) -> str:
    text = str(value)
    if text and not any(character in text for character in ' "=\n\r'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return '"' + escaped.replace("\r", "\\r") + '"'
