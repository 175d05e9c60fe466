"""Values that the holder of a duty keeps with the records of its lease, in virtual time."""

import pytest

from bluebellpitch.platform.records import KeyedRecord
from tests.test_duty_holder import GRACE_S, check


@pytest.mark.parametrize("is_planned", [True, False])
def test_values_that_wait_go_with_the_next_record_of_the_lease(is_planned):
    """They cost no call of their own; the newest take the place of those before."""

    async def body(fleet):
        first = fleet.holder()
        calls = len(fleet.topic.calls)
        for value in (b"7", b"8"):
            first.holder.append_later(first.tokens[-1], (KeyedRecord("w", value),))
        if is_planned:
            first.is_draining = True
            await first.holder.release(GRACE_S)
        else:
            await fleet.run(2.1)
        assert len(fleet.topic.calls) == calls + 1
        assert fleet.topic.newest_by_key["w"] == b"8"
        first.kill()
        await fleet.run(10.0)
        assert fleet.holder().holder.values_by_key == {"w": b"8"}

    check(body)


def test_values_that_wait_are_repeated_after_a_lost_answer_and_dropped_with_their_term():
    async def body(fleet):
        first = fleet.holder()
        first.holder.append_later(first.tokens[-1], (KeyedRecord("w", b"7"),))
        first.client.lose_answers = 1
        await fleet.run(4.0)
        assert first.holder.values_by_key == {"w": b"7"}
        first.holder.append_later(first.tokens[-1] - 1, (KeyedRecord("w", b"8"),))
        await fleet.run(4.0)
        assert fleet.topic.newest_by_key["w"] == b"7"

    check(body)
