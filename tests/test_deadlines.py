"""How long callers wait, in ``route`` and ``serve``."""

import pytest

from bluebellpitch.callers.requests import read_max_wait
from bluebellpitch.decisions.rows import ClassRow
from bluebellpitch.errors import BadRequestError
from bluebellpitch.http1 import HttpRequest
from bluebellpitch.platform.http_messages import MAX_TIMEOUT_S, decode_request

CLASS = ClassRow("draft", 4.0, 2, 1_500, 60, 20_000)


def read_route_timeout(text: str) -> float:
    return decode_request(HttpRequest("GET", "/a", (("deadline-ms", text),), b"")).timeout_s


def read_serve_wait(text: str) -> float:
    headers = (("x-bluebellpitch-deadline-ms", text),)
    return read_max_wait(HttpRequest("GET", "/a", headers, b""), CLASS)


@pytest.mark.parametrize("text", ["1000000000000", "1" + "0" * 30, "9" * 400])
def test_caller_that_waits_very_long_is_not_refused(text):
    """Guards against DENIED: from 1e12 ms on, a deadline was a malformed header."""
    assert read_route_timeout(text) == min(
        int(text) / 1000 if len(text) < 99 else 1e12, MAX_TIMEOUT_S
    )
    assert read_serve_wait(text) == 20.0


@pytest.mark.parametrize("read", [read_route_timeout, read_serve_wait])
@pytest.mark.parametrize("text", ["nan", "-1", "soon", "1,5", "0x10"])
def test_malformed_deadline_is_refused(read, text):
    with pytest.raises(BadRequestError):
        read(text)
