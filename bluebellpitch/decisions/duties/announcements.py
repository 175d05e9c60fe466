"""Announcements of a duty's holder, which spare the candidates most reads of the store."""

from dataclasses import dataclass

# Each announcement goes to all VMs, of which there may be hundreds.
ANNOUNCE_INTERVAL_S = 2.0
# Candidates look at the store once the holder was silent for so long.
SILENT_AFTER_S = 3.0
# Reports go to a holder until it was silent for so long.
FORGET_AFTER_S = 6.0
PAST = -float("inf")


@dataclass(slots=True)
class Announcements:
    """The last announcement of a duty that this VM received, and the last that it sent."""

    _address: str = ""
    _received_at: float = PAST
    _sent_token: int = 0
    _sent_at: float = PAST

    def record(self, address: str, now: float) -> None:
        """Records that the VM at ``address`` holds the duty; "": that it was given back."""
        self._address, self._received_at = address, now

    def holder_address(self, now: float) -> str | None:
        """Returns the bus address of the holder, None if there is none or it is silent."""
        is_silent = now - self._received_at > FORGET_AFTER_S
        return None if is_silent or not self._address else self._address

    def quiet_until(self) -> float:
        """Returns until when candidates rely on the last announcement."""
        return self._received_at + SILENT_AFTER_S if self._address else PAST

    def take_turn(self, token: int, now: float) -> bool:
        """Returns whether this VM has to announce itself now, and takes it for done."""
        if token == self._sent_token and now - self._sent_at < ANNOUNCE_INTERVAL_S:
            return False
        self._sent_token, self._sent_at = token, now
        return True
