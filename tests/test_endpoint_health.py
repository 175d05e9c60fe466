"""Which endpoints count as slow, in virtual time."""

import pytest

from bluebellpitch.constants import HEALTH_WINDOW_S
from bluebellpitch.decisions.endpoint_health import EndpointHealth, LatencySample


def add_samples(health: EndpointHealth, endpoint: str, seconds: float, now: float) -> None:
    for _ in range(5):
        health.add_sample(endpoint, LatencySample(now, "draft", "first", seconds))


def create_health() -> EndpointHealth:
    """Returns the health of two endpoints, of which one is slow."""
    health = EndpointHealth()
    add_samples(health, "slow", 5.0, 0.0)
    add_samples(health, "fast", 0.1, 0.0)
    assert health.update_slow_endpoints(0.0) == (("slow", True),)
    return health


def test_slow_endpoint_that_is_the_last_one_is_used_in_full_again():
    """Guards against a pool that keeps to a few slots since there is nothing left to compare."""
    health = create_health()
    for now in range(1, int(2 * HEALTH_WINDOW_S) + 2):
        add_samples(health, "slow", 5.0, float(now))
        health.update_slow_endpoints(float(now))
    assert not health.is_slow("slow")


@pytest.mark.parametrize("sampled", ["fast", "neither"])
def test_slow_endpoint_stays_slow_until_it_shows_otherwise(sampled):
    health = create_health()
    for now in range(1, int(2 * HEALTH_WINDOW_S) + 2):
        add_samples(health, sampled, 0.1, float(now))
        health.update_slow_endpoints(float(now))
    assert health.is_slow("slow")


def test_endpoint_that_is_fast_again_is_normal():
    health = create_health()
    now = HEALTH_WINDOW_S + 1.0
    add_samples(health, "slow", 0.1, now)
    add_samples(health, "fast", 0.1, now)
    assert health.update_slow_endpoints(now) == (("slow", False),)
