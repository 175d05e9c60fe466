"""Decoding of input that any process may have written."""

from typing import Annotated

import msgspec

# What msgspec raises for input that is malformed, not valid UTF-8 or nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
# Whole numbers that a double holds exactly, such as times in Unix milliseconds.
WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]


def parse_whole_number(text: str, max_digits: int = 9) -> int | None:
    """Returns a number of ASCII digits, or None if the text is none or has too many."""
    if not (text.isascii() and text.isdecimal()) or len(text) > max_digits:
        return None
    return int(text)
