"""Logs: one line of key=value pairs for each event."""

from __future__ import annotations

import json
import logging
import os
import sys
import time
from collections import deque
from typing import Any

PLAIN_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-/:@+%,"
)


def format_value(value: Any) -> str:
    """Return a value for a key=value line, quoted where it must be."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and PLAIN_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text, ensure_ascii=False)


def log_event(
    logger: logging.Logger, event: str, *, level: int = logging.INFO, **pairs: Any
) -> None:
    """Log one event with its key=value pairs; pairs without a value are left out."""
    if not logger.isEnabledFor(level):
        return
    shown = [
        f"{key}={format_value(value)}"
        for key, value in pairs.items()
        if value is not None and value != ""
    ]
    logger.log(level, "%s", " ".join([f"event={event}", *shown]))


def configure_stderr_logs(level: str, host: str) -> None:
    """Send the logs of this process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    line = f"time=%(asctime)s level=%(levelname)s host={host} %(message)s"
    handler.setFormatter(logging.Formatter(line))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


# Limits on the rate and on bursts of lines; lines beyond them are counted and dropped.
MAX_LINES_PER_S = 300.0
MAX_BURST_LINES = 1200.0

# Lines kept in memory for a slow reader of the standard output.
MAX_BUFFERED_LINES = 4000


class RateLimitedHandler(logging.Handler):
    """Write lines to a descriptor without blocking, at a limited rate."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.buffered_lines: deque[bytes] = deque()
        self.partial_line = b""
        self.available_lines = MAX_BURST_LINES
        self.refilled_at = time.monotonic()
        self.suppressed = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as suppressed."""
        now = time.monotonic()
        refilled = self.available_lines + (now - self.refilled_at) * MAX_LINES_PER_S
        self.available_lines = min(MAX_BURST_LINES, refilled)
        self.refilled_at = now
        full = len(self.buffered_lines) >= MAX_BUFFERED_LINES
        if (self.available_lines < 1.0 and record.levelno < logging.WARNING) or full:
            self.suppressed += 1
            return
        self.available_lines -= 1.0
        text = self.format(record)
        if self.suppressed:
            text += f" suppressed={self.suppressed}"
            self.suppressed = 0
        self.buffered_lines.append(text.encode(errors="replace") + b"\n")
        self.write_buffered_lines()

    def write_buffered_lines(self) -> None:
        """Write as many lines as the descriptor accepts without blocking."""
        while self.partial_line or self.buffered_lines:
            data = self.partial_line or self.buffered_lines.popleft()
            try:
                sent = os.write(self.descriptor, data)
            except BlockingIOError:
                self.partial_line = data
                return
            except OSError:
                # The reader is gone, so there is nowhere to report the lost lines.
                self.partial_line = b""
                self.buffered_lines.clear()
                return
            self.partial_line = data[sent:]


def configure_stdout_logs(level: str, host: str) -> None:
    """Send the logs of this process to standard output, rate-limited, non-blocking."""
    handler = RateLimitedHandler(sys.stdout.fileno())
    line = f"time=%(created).3f level=%(levelname)s host={host} %(message)s"
    handler.setFormatter(logging.Formatter(line))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.raiseExceptions = False
