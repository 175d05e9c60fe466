"""Checks an endpoint right before a request is sent to it."""

import asyncio
from collections.abc import Callable

from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.logs import log
from bluebellpitch.roles.topic_follower import TopicFollower

# Covers the last step to the endpoint, and an entry that was written while the store was read.
ENTRIES_AGE_MARGIN_S = 0.5
# Wait for newer entries when they are too old; a VM without access to the store then goes on.
ENTRIES_REFRESH_TIMEOUT_S = 0.3


class EndpointCheck:
    """Decides by entries that are not older than the time for which a draining endpoint serves.

    ``drain_s`` is that time in seconds. ``now`` returns seconds of a clock that also runs while the
    VM is suspended, so that a request which was held up is checked by what is known since.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        follower: TopicFollower,
        drain_s: float,
        now: Callable[[], float],
    ):
        self._directory = directory
        self._follower = follower
        self._max_age_s = max(0.0, drain_s - ENTRIES_AGE_MARGIN_S)
        self._now = now
        self._gave_up_at_confirmed = float("nan")

    async def has_left(self, entry: EndpointEntry) -> bool:
        """Returns whether an endpoint is draining or gone, after a refresh of entries too old."""
        if self._is_too_old() and self._gave_up_at_confirmed != self._confirmed_at:
            await self._wait_for_refresh()
        return self._directory.has_left(entry)

    @property
    def _confirmed_at(self) -> float:
        return self._follower.confirmation.confirmed_at

    def _is_too_old(self) -> bool:
        return self._follower.age_s(self._now()) > self._max_age_s

    async def _wait_for_refresh(self) -> None:
        """Waits for newer entries; when there are none, later requests do not wait again."""
        try:
            async with asyncio.timeout(ENTRIES_REFRESH_TIMEOUT_S):
                while self._is_too_old():
                    await self._follower.wait_confirmed()
        except TimeoutError:
            if self._gave_up_at_confirmed != self._confirmed_at:
                age_s = self._follower.age_s(self._now())
                log("WARNING", "endpoints_not_current", age_s=f"{age_s:.2f}")
            self._gave_up_at_confirmed = self._confirmed_at
