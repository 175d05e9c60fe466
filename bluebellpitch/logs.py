"""Logs: one line of key=value pairs for each event."""

import json
import os
import time
from collections.abc import Callable
from typing import TextIO

from loguru import logger

LINE_FORMAT = "ts={time:YYYY-MM-DDTHH:mm:ss.SSS!UTC} vm=%s level={level.name} {message}"


# Lines a second in the long run, and at once.
LINES_PER_S = 200.0
BURST_LINES = 1_000.0
# Longest line that a pipe takes whole.
MAX_LINE_BYTES = 4_096


class RateLimitedSink:
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines beyond the rate, and lines that a full pipe does not take, are counted; the count is
    written as soon as there is room again.
    """

    def __init__(self, descriptor: int, now: Callable[[], float] = time.monotonic):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._now = now
        self._room = BURST_LINES
        self._counted_at = now()
        self.dropped_lines = 0

    def write(self, line: str) -> None:
        """Writes one line, or counts it as left out."""
        now = self._now()
        self._room = min(BURST_LINES, self._room + (now - self._counted_at) * LINES_PER_S)
        self._counted_at = now
        if self._room < 1 or not self._tell_left_out() or not self._put(line):
            self.dropped_lines += 1
            return
        self._room -= 1

    def _tell_left_out(self) -> bool:
        if not self.dropped_lines:
            return True
        if not self._put(f"level=WARNING event=log_lines_left_out count={self.dropped_lines}\n"):
            return False
        self.dropped_lines = 0
        return True

    def _put(self, line: str) -> bool:
        data = line.encode()
        if len(data) > MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            return os.write(self._descriptor, data) == len(data)
        except OSError:
            return False


def configure_rate_limited_logging(descriptor: int, level: str, vm: str) -> RateLimitedSink:
    """Sends log lines to a descriptor, within a bound and without waiting."""
    sink = RateLimitedSink(descriptor)
    logger.remove()
    logger.add(sink.write, level=level, format=LINE_FORMAT % vm, catch=True)
    return sink


def configure_logging(stream: TextIO, level: str, vm: str) -> None:
    """Sends log lines of at least ``level`` to ``stream``, each with this VM's name."""
    logger.remove()
    logger.add(stream, level=level, format=LINE_FORMAT % vm)


def log(level: str, event: str, **values: object) -> None:
    """Writes one event as key=value pairs; values with blanks are quoted."""
    pairs = "".join(f" {key}={format_value(value)}" for key, value in values.items())
    logger.log(level, f"event={event}{pairs}")


def format_value(value: object) -> str:
    """Returns ``value`` as the right side of a pair, always on one line."""
    text = str(value)
    if text and text.isprintable() and not any(mark in text for mark in ' "='):
        return text
    return json.dumps(text)
