"""Connections of this VM to announced endpoints, kept while idle."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.http1 import ClientConnection

CONNECT_TIMEOUT_S = 0.4
# An idle connection is used for this part of the time that the endpoint says it keeps it.
IDLE_TIMEOUT_SHARE = 0.6
DEFAULT_IDLE_TIMEOUT_S = 2.0
MAX_IDLE_TIMEOUT_S = 8.0
# Requests that must not repeat go on connections that were in use this short a time ago.
AT_MOST_ONCE_IDLE_TIMEOUT_S = 1.0


@dataclass(slots=True)
class IncarnationConnections:
    """Links to one incarnation of an endpoint; the latest idle one is used first."""

    idle: list[ClientConnection] = field(default_factory=list)
    open_count: int = 0
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


class EndpointConnectionPool:
    """All links of this VM. ``now`` is the owner's clock."""

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._by_incarnation: dict[tuple[str, int], IncarnationConnections] = {}

    def _links(self, entry: EndpointEntry) -> IncarnationConnections:
        key = (entry.id, entry.started_ms)
        if key not in self._by_incarnation:
            self._by_incarnation[key] = IncarnationConnections()
        return self._by_incarnation[key]

    async def acquire(self, entry: EndpointEntry, at_most_once: bool) -> ClientConnection:
        """Returns a link for one request; ``once`` asks for a fresh one. Raises NotSentError."""
        links = self._links(entry)
        oldest = self._now() - min(
            links.idle_timeout_s,
            AT_MOST_ONCE_IDLE_TIMEOUT_S if at_most_once else links.idle_timeout_s,
        )
        while links.idle:
            connection = links.idle.pop()
            if connection.idle_since >= oldest and not connection.is_stale():
                return connection
            self._drop(links, connection)
        links.open_count += 1
        try:
            return await ClientConnection.open(entry.address, CONNECT_TIMEOUT_S)
        except BaseException:
            links.open_count -= 1
            raise

    def release(self, entry: EndpointEntry, connection: ClientConnection, idle_s: float | None):
        """Keeps a link for the next request, or closes it."""
        links = self._links(entry)
        if idle_s is not None:
            links.idle_timeout_s = min(idle_s * IDLE_TIMEOUT_SHARE, MAX_IDLE_TIMEOUT_S)
        if idle_s == 0 or not connection.start_next_cycle():
            self._drop(links, connection)
            return
        connection.idle_since = self._now()
        links.idle.append(connection)

    def discard(self, entry: EndpointEntry, connection: ClientConnection) -> None:
        """Closes a link at once; the endpoint sees a cancelled request."""
        self._drop(self._links(entry), connection)

    def _drop(self, links: IncarnationConnections, connection: ClientConnection) -> None:
        links.open_count -= 1
        connection.close()

    def close_expired(self) -> None:
        """Closes links that have been idle for too long, and forgets endpoints without any."""
        now = self._now()
        for key, links in list(self._by_incarnation.items()):
            kept = []
            for connection in links.idle:
                if now - connection.idle_since < links.idle_timeout_s:
                    kept.append(connection)
                else:
                    self._drop(links, connection)
            links.idle = kept
            if not links.open_count:
                del self._by_incarnation[key]
