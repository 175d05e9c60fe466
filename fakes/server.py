"""Base of the fake servers: an HTTP server with a ``/control`` path that sets faults."""

import msgspec

from bluebellpitch.errors import BadRequestError
from bluebellpitch.http1 import Headers, HttpLimits, HttpRequest, HttpServer, ServerConnection

JSON_HEADERS = [("Content-Type", "application/json")]


class FakeServer:
    """Base class of fake servers. ``POST /control`` sets attributes from a JSON object."""

    def __init__(self):
        self.http = HttpServer(self._handle, send_bad_request, HttpLimits(body_bytes=64_000_000))

    async def start(self, host: str, port: int) -> int:
        """Starts to listen; returns the port."""
        return await self.http.listen(host, port)

    async def _handle(self, connection: ServerConnection, request: HttpRequest) -> None:
        if request.target == "/control":
            for name, value in msgspec.json.decode(request.body).items():
                if not hasattr(self, name):
                    raise BadRequestError(400, "unknown", name)
                setattr(self, name, value)
            await connection.respond(200, JSON_HEADERS, b"{}")
            return
        if request.target == "/health":
            await send_json(connection, {})
            return
        await self.serve(connection, request)

    async def serve(self, connection: ServerConnection, request: HttpRequest) -> None:
        """Handles one request other than ``/control`` and ``/health``."""
        raise NotImplementedError


async def send_json(
    connection: ServerConnection, value: object, status: int = 200, headers: Headers = ()
) -> None:
    """Responds with a value as JSON."""
    await connection.respond(status, [*JSON_HEADERS, *headers], msgspec.json.encode(value))


async def send_bad_request(connection: ServerConnection, error: BadRequestError) -> None:
    """Responds to a request that cannot be parsed or handled."""
    await connection.respond(error.status, JSON_HEADERS, msgspec.json.encode({"error": str(error)}))
