"""Acquires, renews and gives back the lease of one duty."""

from collections.abc import Callable

from bluebellpitch.decisions.duties.held_lease import HeldLease
from bluebellpitch.peers.platform_messages import DutyAnnouncement
from bluebellpitch.platform.records import KeyedRecord


class DutyHolder:
    """The part of this VM in one duty: holder, candidate, or neither.

    ``values_by_key`` are the values that holders keep beside the lease, read when this VM acquires
    it; ``on_acquired`` is called then.
    """

    duty: str
    values_by_key: dict[str, bytes]
    on_acquired: Callable[[HeldLease], None]

    def lease(self) -> HeldLease | None:
        """Returns the lease if this VM holds it with time left for a call, else None."""
        raise NotImplementedError

    async def append(self, records: tuple[KeyedRecord, ...]) -> bool:
        """Keeps values in the store under the lease; returns whether they are certain to be there.

        After False they may or may not be there, and the lease may be lost.
        """
        raise NotImplementedError

    def holder_address(self) -> str | None:
        """Returns the bus address of the VM that announced itself as holder, None if silent."""
        raise NotImplementedError

    def handle_announcement(self, announcement: DutyAnnouncement) -> None:
        """Records which VM holds the duty."""
        raise NotImplementedError

    async def run(self) -> None:
        """Acquires the lease when this VM is the candidate, and renews it, until cancelled."""
        raise NotImplementedError

    async def release(self) -> None:
        """Gives the lease back before a planned stop, so that another VM may take it at once."""
        raise NotImplementedError

    async def give_back(self, reason: str) -> None:
        """Gives the lease back, so that another VM takes the duty."""
        raise NotImplementedError
