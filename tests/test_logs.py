"""The rate-limited log sink: it never blocks, and reports how many lines it dropped."""

import os

from bluebellpitch.logs import BURST_LINES, LINES_PER_S, RateLimitedSink


class FakeClock:
    """A clock that the test advances."""

    now = 0.0

    def __call__(self) -> float:
        return self.now


def test_stalled_reader_does_not_block_the_sink():
    reader, writer = os.pipe()
    clock = FakeClock()
    sink = RateLimitedSink(writer, clock)
    for _ in range(5_000):
        clock.now += 1.0
        sink.write("x" * 200 + "\n")
    assert sink.dropped_lines > 0
    dropped = sink.dropped_lines
    while True:
        try:
            if len(os.read(reader, 1 << 20)) < 1 << 16:
                break
        except BlockingIOError:
            break
    clock.now += 10.0
    sink.write("after\n")
    text = os.read(reader, 1 << 20).decode()
    assert f"event=log_lines_left_out count={dropped}" in text
    assert text.endswith("after\n")
    os.close(reader)
    os.close(writer)


def test_lines_beyond_the_rate_are_dropped_and_counted():
    descriptor = os.memfd_create("log")
    clock = FakeClock()
    sink = RateLimitedSink(descriptor, clock)
    for _ in range(int(BURST_LINES) + 500):
        sink.write("line\n")
    assert sink.dropped_lines == 500
    clock.now += 1.0
    for _ in range(int(LINES_PER_S) + 10):
        sink.write("line\n")
    assert sink.dropped_lines == 10
    os.close(descriptor)
