"""Tells all entry VMs of requests that crash endpoints, and hears it from them."""

import asyncio
from collections.abc import Callable, Iterable

from bluebellpitch.decisions.strikes import StrikeTracker
from bluebellpitch.peers.messages import StrikeKnown, StrikeNoted, StrikesCleared

EXPIRY_INTERVAL_S = 30.0


class StrikeRole:
    """Owns the book of strikes. ``tell`` sends a message to a peer by its key or address."""

    def __init__(
        self,
        book: StrikeTracker,
        peers: Callable[[], Iterable[str]],
        tell: Callable[[str, StrikeNoted | StrikesCleared], None],
        now: Callable[[], float],
    ):
        self.book = book
        self._peers = peers
        self._tell = tell
        self._now = now
        self._unconfirmed_by_attempt: dict[str, int] = {}
        self._confirmed = asyncio.Event()

    def take(self, message: StrikeNoted | StrikesCleared | StrikeKnown) -> StrikeKnown | None:
        """Takes a peer's message in; returns the confirmation that it is owed."""
        match message:
            case StrikeNoted(fingerprint, attempt, confirm):
                self.book.add(fingerprint, attempt, self._now())
                return StrikeKnown(attempt) if confirm else None
            case StrikesCleared(fingerprint):
                self.book.clear(fingerprint)
            case StrikeKnown(attempt):
                self._confirm(attempt)
        return None

    def _confirm(self, attempt: str) -> None:
        if attempt in self._unconfirmed_by_attempt:
            self._unconfirmed_by_attempt[attempt] -= 1
            self._confirmed.set()
            self._confirmed = asyncio.Event()

    def note(self, fingerprint: str, attempt: str) -> None:
        """Notes that an endpoint died under an attempt, here and at all peers."""
        self._note(StrikeNoted(fingerprint, attempt))

    def _note(self, message: StrikeNoted) -> int:
        self.book.add(message.fingerprint, message.attempt, self._now())
        return self._tell_all(message)

    async def note_confirmed(self, fingerprint: str, attempt: str, patience_s: float) -> None:
        """Notes a strike; returns when all peers have it, at the latest after ``patience_s``."""
        told = self._note(StrikeNoted(fingerprint, attempt, confirm=True))
        self._unconfirmed_by_attempt[attempt] = told
        try:
            async with asyncio.timeout(patience_s):
                while self._unconfirmed_by_attempt[attempt] > 0:
                    await self._confirmed.wait()
        except TimeoutError:
            return
        finally:
            del self._unconfirmed_by_attempt[attempt]

    def clear(self, fingerprint: str) -> None:
        """Clears a request that completed, here and at all peers."""
        self.book.clear(fingerprint)
        self._tell_all(StrikesCleared(fingerprint))

    def _tell_all(self, message: StrikeNoted | StrikesCleared) -> int:
        peers = tuple(self._peers())
        for peer in peers:
            self._tell(peer, message)
        return len(peers)

    async def expire(self) -> None:
        """Forgets old strikes, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.book.expire(self._now())
