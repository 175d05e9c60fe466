"""The clients of the store that one VM has, and the era that their answers name."""

from collections.abc import Callable

from bluebellpitch.decisions.store_era import StoreEra
from bluebellpitch.logs import log
from bluebellpitch.platform.store import StoreClient


class StoreClients:
    """Creates the clients and closes them together."""

    def __init__(self, address: str, store_era: StoreEra, now: Callable[[], float]):
        self._address = address
        self._store_era = store_era
        self._now = now
        self._clients: list[StoreClient] = []

    def create(self) -> StoreClient:
        """Returns a client for one task; calls of one client must not overlap."""
        client = StoreClient(self._address, self._observe_era)
        self._clients.append(client)
        return client

    def _observe_era(self, era: int) -> None:
        was = self._store_era.number
        if self._store_era.observe(era, self._now()):
            log("WARNING", "store_era", era=era, was=was)

    def close(self) -> None:
        """Closes all connections."""
        for client in self._clients:
            client.close()
