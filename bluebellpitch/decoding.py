"""Decoding of input that any process may have written."""

import math
from typing import Annotated

import msgspec

# What msgspec raises for input that is malformed, not valid UTF-8 or nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
MAX_WHOLE_NUMBER = (1 << 63) - 1
MAX_WHOLE_NUMBER_DIGITS = len(str(MAX_WHOLE_NUMBER))
# Counts, versions and times of others: kept as integers, as a double holds few of them exactly.
WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]


def parse_whole_number(text: str, max_digits: int = MAX_WHOLE_NUMBER_DIGITS) -> int | None:
    """Returns a number of ASCII digits, or None if the text is none or has too many."""
    if not (text.isascii() and text.isdecimal()) or len(text) > max_digits:
        return None
    return int(text)


def parse_milliseconds(text: str, max_s: float) -> float | None:
    """Returns decimal milliseconds as seconds, at most ``max_s``; None if the text is none."""
    try:
        seconds = float(text) / 1000
    except ValueError:
        return None
    return None if math.isnan(seconds) else min(seconds, max_s)
