"""Replicates strikes, which count endpoint crashes per request, between entry VMs."""

import asyncio
from collections.abc import Callable, Iterable

from bluebellpitch.decisions.strikes import StrikeTracker
from bluebellpitch.peers.messages import StrikeConfirmation, StrikeReport, StrikesCleared

STRIKE_EXPIRY_INTERVAL_S = 30.0


class StrikeReplicator:
    """Owns the record of strikes. ``send`` takes the key or address of a peer and a message."""

    def __init__(
        self,
        tracker: StrikeTracker,
        peers: Callable[[], Iterable[str]],
        send: Callable[[str, StrikeReport | StrikesCleared], None],
        now: Callable[[], float],
    ):
        self.tracker = tracker
        self._peers = peers
        self._send = send
        self._now = now
        self._unconfirmed_by_attempt: dict[str, int] = {}
        self._confirmed = asyncio.Event()

    def handle_message(
        self, message: StrikeReport | StrikesCleared | StrikeConfirmation
    ) -> StrikeConfirmation | None:
        """Handles a message from a peer; returns the confirmation to send back, if any."""
        match message:
            case StrikeReport(fingerprint, attempt, confirm):
                self.tracker.add(fingerprint, attempt, self._now())
                return StrikeConfirmation(attempt) if confirm else None
            case StrikesCleared(fingerprint):
                self.tracker.clear(fingerprint)
            case StrikeConfirmation(attempt):
                self._record_confirmation(attempt)
        return None

    def _record_confirmation(self, attempt: str) -> None:
        if attempt in self._unconfirmed_by_attempt:
            self._unconfirmed_by_attempt[attempt] -= 1
            self._confirmed.set()
            self._confirmed = asyncio.Event()

    def record(self, fingerprint: str, attempt: str) -> None:
        """Records here and at all peers that an endpoint crashed during an attempt."""
        self._record_and_broadcast(StrikeReport(fingerprint, attempt))

    def _record_and_broadcast(self, message: StrikeReport) -> int:
        self.tracker.add(message.fingerprint, message.attempt, self._now())
        return self._broadcast(message)

    async def record_confirmed(self, fingerprint: str, attempt: str, timeout_s: float) -> None:
        """Records a strike and waits, at most ``timeout_s``, until all peers have confirmed it."""
        sent = self._record_and_broadcast(StrikeReport(fingerprint, attempt, confirm=True))
        self._unconfirmed_by_attempt[attempt] = sent
        try:
            async with asyncio.timeout(timeout_s):
                while self._unconfirmed_by_attempt[attempt] > 0:
                    await self._confirmed.wait()
        except TimeoutError:
            return
        finally:
            del self._unconfirmed_by_attempt[attempt]

    def clear(self, fingerprint: str) -> None:
        """Clears the strikes of a completed request, here and at all peers."""
        self.tracker.clear(fingerprint)
        self._broadcast(StrikesCleared(fingerprint))

    def _broadcast(self, message: StrikeReport | StrikesCleared) -> int:
        peers = tuple(self._peers())
        for peer in peers:
            self._send(peer, message)
        return len(peers)

    async def run_expiry(self) -> None:
        """Removes expired strikes periodically, until cancelled."""
        while True:
            await asyncio.sleep(STRIKE_EXPIRY_INTERVAL_S)
            self.tracker.expire(self._now())
