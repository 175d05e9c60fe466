"""When an outage of the store begins and ends, as one VM counts it."""

import pytest

from bluebellpitch.decisions.store_outage import MIN_OUTAGE_S, StoreOutage

WINDOW_S = 2.4


def test_answer_from_before_the_outage_does_not_end_it():
    """A peer's late reply may go back to a read that the store answered before it went away."""
    outage = StoreOutage()
    assert outage.record_failure(10.0)
    assert outage.record_answer(9.9) is None
    assert outage.is_recent(60.0, WINDOW_S)


@pytest.mark.parametrize(("outage_s", "is_recent"), [(MIN_OUTAGE_S / 2, False), (9.0, True)])
def test_answer_ends_the_outage_and_long_ones_count_for_a_while(outage_s, is_recent):
    outage = StoreOutage()
    outage.record_failure(10.0)
    assert not outage.record_failure(10.5)
    assert outage.record_answer(10.0 + outage_s) == outage_s
    assert outage.is_recent(10.0 + outage_s, WINDOW_S) is is_recent
    assert not outage.is_recent(10.1 + outage_s + WINDOW_S, WINDOW_S)
    assert outage.record_answer(100.0) is None
