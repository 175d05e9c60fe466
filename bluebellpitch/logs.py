"""Logging: one line of key=value pairs for each event."""

import json
import os
import time
from collections.abc import Callable
from typing import TextIO

from loguru import logger

LINE_FORMAT = "ts={time:YYYY-MM-DDTHH:mm:ss.SSS!UTC} vm=%s level={level.name} {message}"


# Token bucket: sustained lines per second, and the size of a burst.
LINES_PER_S = 200.0
BURST_LINES = 1_000.0
# PIPE_BUF on Linux: a write of up to this size to a pipe is atomic.
MAX_LINE_BYTES = 4_096


class RateLimitedSink:
    """Writes lines to a file descriptor without ever blocking on its reader.

    Lines beyond the rate limit, and lines that a full pipe does not accept, are dropped and
    counted. The count is written before the next line that can be written.
    """

    def __init__(self, descriptor: int, now: Callable[[], float] = time.monotonic):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._now = now
        self._allowance = BURST_LINES
        self._refilled_at = now()
        self.dropped_lines = 0

    def write(self, line: str) -> None:
        """Writes one line, or drops and counts it."""
        now = self._now()
        self._allowance = min(
            BURST_LINES, self._allowance + (now - self._refilled_at) * LINES_PER_S
        )
        self._refilled_at = now
        if self._allowance < 1 or not self._report_dropped() or not self._write_line(line):
            self.dropped_lines += 1
            return
        self._allowance -= 1

    def _report_dropped(self) -> bool:
        if not self.dropped_lines:
            return True
        if not self._write_line(
            f"level=WARNING event=log_lines_left_out count={self.dropped_lines}\n"
        ):
            return False
        self.dropped_lines = 0
        return True

    def _write_line(self, line: str) -> bool:
        data = line.encode()
        if len(data) > MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            return os.write(self._descriptor, data) == len(data)
        except OSError:
            return False


def configure_rate_limited_logging(descriptor: int, level: str, vm: str) -> RateLimitedSink:
    """Sends log lines to a file descriptor, with a rate limit and without blocking."""
    sink = RateLimitedSink(descriptor)
    logger.remove()
    logger.add(sink.write, level=level, format=LINE_FORMAT % vm, catch=True)
    return sink


def configure_logging(stream: TextIO, level: str, vm: str) -> None:
    """Sends log lines of at least ``level`` to ``stream``; each line names the VM."""
    logger.remove()
    logger.add(stream, level=level, format=LINE_FORMAT % vm)


def log(level: str, event: str, **values: object) -> None:
    """Writes one event as key=value pairs; values with special characters are quoted."""
    pairs = "".join(f" {key}={format_value(value)}" for key, value in values.items())
    logger.log(level, f"event={event}{pairs}")


def format_value(value: object) -> str:
    """Returns the text of ``value`` for a key=value pair, always on one line."""
    text = str(value)
    if text and text.isprintable() and not any(character in text for character in ' "='):
        return text
    return json.dumps(text)
