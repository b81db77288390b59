"""Write one key=value line per event."""

import logging
import sys
from typing import Any

_LOGGER = logging.getLogger("bronzetiller")


def configure_logging(node_id: str, level: str = "INFO") -> None:
    """Send the log lines of this process to standard error."""
    stream = logging.StreamHandler(sys.stderr)
    form = f"time=%(asctime)s.%(msecs)03d level=%(levelname)s node={node_id} %(message)s"
    stream.setFormatter(logging.Formatter(form, "%Y-%m-%dT%H:%M:%S"))
    _LOGGER.handlers[:] = [stream]
    _LOGGER.setLevel(level)
    _LOGGER.propagate = False


def log_event(event: str, *, level: int = logging.INFO, **fields: Any) -> None:
    """Log an event with its fields as key=value pairs."""
    if _LOGGER.isEnabledFor(level):
        pairs = [f"event={event}", *(f"{key}={_quote(value)}" for key, value in fields.items())]
        _LOGGER.log(level, " ".join(pairs))


def _quote(value: Any) -> str:
    text = str(value)
    if text and not any(mark in text for mark in ' "=\n\r'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return '"' + escaped.replace("\r", "\\r") + '"'
