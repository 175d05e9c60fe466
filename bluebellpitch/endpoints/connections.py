"""A pool of idle connections to endpoints by address, and a health probe of an endpoint."""

from collections.abc import Callable

from bluebellpitch.constants import (
    ENDPOINT_CONNECT_TIMEOUT_S,
    MAX_IDLE_CONNECTION_AGE_S,
    PROBE_TIMEOUT_S,
)
from bluebellpitch.decisions.buffer_budget import BufferBudget
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.http1 import ClientConnection, fetch

# Only the status of a health check counts.
MAX_HEALTH_BYTES = 65_536


class ConnectionPool:
    """Idle connections of ``serve``, by address; EndpointConnectionPool has them by incarnation.

    ``now`` returns monotonic seconds. Old connections are closed, because the endpoint may
    have vanished without closing them. Responses of endpoints are held in ``buffers``.
    """

    def __init__(self, now: Callable[[], float], buffers: BufferBudget | None = None):
        self._now = now
        self.buffers = buffers or BufferBudget()
        self._idle_by_address: dict[str, list[ClientConnection]] = {}

    async def acquire(self, address: str) -> ClientConnection:
        """Returns an idle connection or a new one; raises NotSentError."""
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            is_fresh = self._now() - connection.idle_since < MAX_IDLE_CONNECTION_AGE_S
            if is_fresh and not connection.is_stale():
                return connection
            connection.close()
        return await self.open(address)

    async def open(self, address: str) -> ClientConnection:
        """Returns a new connection; raises NotSentError."""
        return await ClientConnection.open(address, ENDPOINT_CONNECT_TIMEOUT_S)

    def release(self, connection: ClientConnection) -> None:
        """Keeps a connection for reuse, or closes it when it cannot be reused."""
        if not connection.start_next_cycle():
            connection.close()
            return
        connection.idle_since = self._now()
        self._idle_by_address.setdefault(connection.address, []).append(connection)

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()


async def probe(address: str) -> bool:
    """Returns whether an endpoint answers ``GET /health`` on a new connection."""
    try:
        response = await fetch(
            address, "GET", "/health", timeout_s=PROBE_TIMEOUT_S, max_bytes=MAX_HEALTH_BYTES
        )
    except BluebellpitchError:
        return False
    return response.status < 500
