"""HTTP/1.1 over asyncio streams with h11: one server side, one client side."""

from bluebellpitch.http1.client import ClientConnection, fetch
from bluebellpitch.http1.messages import (
    Headers,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    parse_address,
)
from bluebellpitch.http1.server import HttpServer, ServerConnection

__all__ = [
    "ClientConnection",
    "Headers",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "ServerConnection",
    "fetch",
    "parse_address",
]
