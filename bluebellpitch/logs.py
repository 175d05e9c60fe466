"""Logs: one line of key=value pairs for each event, on standard error."""

import json
from typing import TextIO

from loguru import logger

LINE_FORMAT = "ts={time:YYYY-MM-DDTHH:mm:ss.SSS!UTC} vm=%s level={level.name} {message}"


def set_up_logs(stream: TextIO, level: str, vm: str) -> None:
    """Sends log lines of at least ``level`` to ``stream``, each with this VM's name."""
    logger.remove()
    logger.add(stream, level=level, format=LINE_FORMAT % vm)


def log(level: str, event: str, **values: object) -> None:
    """Writes one event as key=value pairs; values with blanks are quoted."""
    pairs = "".join(f" {key}={quote_value(value)}" for key, value in values.items())
    logger.log(level, f"event={event}{pairs}")


def quote_value(value: object) -> str:
    """Returns ``value`` as the right side of a pair, always on one line."""
    text = str(value)
    if text and text.isprintable() and not any(mark in text for mark in ' "='):
        return text
    return json.dumps(text)
