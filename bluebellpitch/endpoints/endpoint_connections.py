"""A pool of connections to announced endpoints, by incarnation of the endpoint."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bluebellpitch.decisions.buffer_budget import BufferBudget
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.http1 import ClientConnection

ROUTED_CONNECT_TIMEOUT_S = 0.4
# An idle connection is reused for this share of the keep-alive time that the endpoint states.
IDLE_TIMEOUT_SHARE = 0.6
DEFAULT_IDLE_TIMEOUT_S = 2.0
MAX_IDLE_TIMEOUT_S = 8.0
# Requests that must not be repeated reuse only connections that were idle for less than this.
AT_MOST_ONCE_IDLE_TIMEOUT_S = 1.0


@dataclass(slots=True)
class IncarnationConnections:
    """Connections to one incarnation of an endpoint; the last one released is reused first."""

    idle: list[ClientConnection] = field(default_factory=list)
    open_count: int = 0
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


class EndpointConnectionPool:
    """Connections of ``route``, by incarnation of the endpoint; ConnectionPool has them by address.

    ``now`` returns monotonic seconds. Responses of their endpoints are held in ``buffers``.
    """

    def __init__(self, now: Callable[[], float], buffers: BufferBudget | None = None):
        self._now = now
        self.buffers = buffers or BufferBudget()
        self._by_incarnation: dict[tuple[str, int], IncarnationConnections] = {}

    def _connections_to(self, entry: EndpointEntry) -> IncarnationConnections:
        key = (entry.id, entry.started_ms)
        if key not in self._by_incarnation:
            self._by_incarnation[key] = IncarnationConnections()
        return self._by_incarnation[key]

    async def acquire(
        self, entry: EndpointEntry, at_most_once: bool, may_reuse: bool = True
    ) -> ClientConnection:
        """Returns an idle connection or a new one; raises NotSentError.

        ``at_most_once`` allows reuse only of a connection that was in use a moment ago. A request
        whose response has no id may not reuse any: it could get the response to an earlier one.
        """
        pooled = self._connections_to(entry)
        idle_since_limit = self._now() - min(
            pooled.idle_timeout_s,
            AT_MOST_ONCE_IDLE_TIMEOUT_S if at_most_once else pooled.idle_timeout_s,
        )
        while pooled.idle and may_reuse:
            connection = pooled.idle.pop()
            if connection.idle_since >= idle_since_limit and not connection.is_stale():
                return connection
            self._drop(pooled, connection)
        pooled.open_count += 1
        try:
            return await ClientConnection.open(entry.address, ROUTED_CONNECT_TIMEOUT_S)
        except BaseException:
            pooled.open_count -= 1
            raise

    def release(
        self, entry: EndpointEntry, connection: ClientConnection, keep_alive_s: float | None
    ):
        """Keeps a connection for reuse, or closes it when it cannot be reused.

        ``keep_alive_s`` is how long the endpoint keeps idle connections: None when it does not
        say, 0 when it keeps none.
        """
        pooled = self._connections_to(entry)
        if keep_alive_s is not None:
            pooled.idle_timeout_s = min(keep_alive_s * IDLE_TIMEOUT_SHARE, MAX_IDLE_TIMEOUT_S)
        if keep_alive_s == 0 or not connection.start_next_cycle():
            self._drop(pooled, connection)
            return
        connection.idle_since = self._now()
        pooled.idle.append(connection)

    def close_idle(self, entry: EndpointEntry) -> None:
        """Closes the idle connections to an endpoint."""
        pooled = self._connections_to(entry)
        while pooled.idle:
            self._drop(pooled, pooled.idle.pop())

    def discard(self, entry: EndpointEntry, connection: ClientConnection) -> None:
        """Closes a connection at once; the endpoint sees a cancelled request."""
        self._drop(self._connections_to(entry), connection)

    def _drop(self, pooled: IncarnationConnections, connection: ClientConnection) -> None:
        pooled.open_count -= 1
        connection.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for pooled in self._by_incarnation.values():
            while pooled.idle:
                self._drop(pooled, pooled.idle.pop())

    def close_expired(self) -> None:
        """Closes connections that were idle for too long; removes endpoints without any."""
        now = self._now()
        for key, pooled in list(self._by_incarnation.items()):
            kept = []
            for connection in pooled.idle:
                if now - connection.idle_since < pooled.idle_timeout_s:
                    kept.append(connection)
                else:
                    self._drop(pooled, connection)
            pooled.idle = kept
            if not pooled.open_count:
                del self._by_incarnation[key]
