"""Client of the platform's API, which one VM at a time calls for each duty."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from bluebellpitch.decisions.duties.held_lease import CALL_TIMEOUT_S, HeldLease
from bluebellpitch.errors import ConnectionLostError, NotSentError
from bluebellpitch.http1 import ClientConnection

USAGE_DUTY = "metering"
SCALING_DUTY = "autoscale"
REJECTED_STATUSES = frozenset({400, 409})
FENCED_STATUS = 412


@dataclass(frozen=True, slots=True)
class CallAccepted:
    """The platform has taken the call."""


@dataclass(frozen=True, slots=True)
class CallRejected:
    """The platform refused the call for good; an equal one would be refused again for now."""

    status: int


@dataclass(frozen=True, slots=True)
class CallFenced:
    """The platform knows a higher token, so nothing may be called under this one any more."""


@dataclass(frozen=True, slots=True)
class CallFailed:
    """No answer, or one that tells nothing of the call itself: it may be sent again.

    ``is_unanswered``: the API could not be reached, or gave no answer in time.
    """

    reason: str
    is_unanswered: bool = False


CallOutcome = CallAccepted | CallRejected | CallFenced | CallFailed


class DutyApi:
    """Sends calls of one VM; those of one instance must not overlap."""

    def __init__(self, address: str, vm_name: str, now: Callable[[], float]):
        self._address = address
        self._vm_name = vm_name
        self._now = now
        self._connection: ClientConnection | None = None

    async def report_usage(
        self, lease: HeldLease, window: int, counts_by_member: Mapping[str, int]
    ) -> CallOutcome:
        """Reports how many requests of each member began to run in a window."""
        counts = {member: counts_by_member[member] for member in sorted(counts_by_member)}
        return await self._call(lease, "/usage", {"window_index": window, "counts": counts})

    async def order_endpoints(
        self, lease: HeldLease, pool: str, zone: str, count: int, is_spot: bool
    ) -> CallOutcome:
        """Orders how many endpoints of one capacity type a pool should have in a zone."""
        order = {"service": pool, "zone": zone, "desired": count}
        return await self._call(lease, "/scale", order | ({"spot": True} if is_spot else {}))

    async def _call(self, lease: HeldLease, path: str, content: dict) -> CallOutcome:
        headers = [
            ("Duty-Holder", self._vm_name),
            ("Fencing-Token", str(lease.token)),
            ("Content-Type", "application/json"),
        ]
        body = msgspec.json.encode(content)
        try:
            connection = await self._connect()
            if not lease.allows_call(self._now()):
                return CallFailed("lease_ends")
            response = await connection.call("POST", path, body, CALL_TIMEOUT_S, headers)
        except (NotSentError, ConnectionLostError) as error:
            self.close()
            return CallFailed(str(error), is_unanswered=True)
        if not connection.start_next_cycle():
            self.close()
        if 200 <= response.status < 300:
            return CallAccepted()
        if response.status in REJECTED_STATUSES:
            return CallRejected(response.status)
        if response.status == FENCED_STATUS:
            return CallFenced()
        return CallFailed(f"status {response.status}")

    async def _connect(self) -> ClientConnection:
        connection = self._connection
        if connection is not None and not connection.is_stale():
            return connection
        self.close()
        self._connection = await ClientConnection.open(self._address, CALL_TIMEOUT_S)
        return self._connection

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
