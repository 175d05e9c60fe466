"""The bounded log sink: it never waits, and says what it left out."""

import os

from bluebellpitch.logs import BURST_LINES, LINES_PER_S, RateLimitedSink


class Clock:
    """A clock that the test moves."""

    now = 0.0

    def __call__(self) -> float:
        return self.now


def test_stopped_reader_holds_nothing_up():
    reader, writer = os.pipe()
    clock = Clock()
    sink = RateLimitedSink(writer, clock)
    for _ in range(5_000):
        clock.now += 1.0
        sink.write("x" * 200 + "\n")
    assert sink.dropped_lines > 0
    left_out = sink.dropped_lines
    while True:
        try:
            if len(os.read(reader, 1 << 20)) < 1 << 16:
                break
        except BlockingIOError:
            break
    clock.now += 10.0
    sink.write("after\n")
    text = os.read(reader, 1 << 20).decode()
    assert f"event=log_lines_left_out count={left_out}" in text
    assert text.endswith("after\n")
    os.close(reader)
    os.close(writer)


def test_rate_is_bounded_and_the_rest_is_counted():
    path = os.memfd_create("log")
    clock = Clock()
    sink = RateLimitedSink(path, clock)
    for _ in range(int(BURST_LINES) + 500):
        sink.write("line\n")
    assert sink.dropped_lines == 500
    clock.now += 1.0
    for _ in range(int(LINES_PER_S) + 10):
        sink.write("line\n")
    assert sink.dropped_lines == 10
    os.close(path)
