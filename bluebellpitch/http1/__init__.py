"""An HTTP/1.1 client and server over asyncio streams, with h11 as the protocol parser."""

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
