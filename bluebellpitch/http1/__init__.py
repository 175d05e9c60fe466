"""An HTTP/1.1 client and server over asyncio streams, with h11 as the protocol parser."""

from bluebellpitch.http1.client import MAX_DISCARDED_BYTES, ClientConnection, decode_headers, fetch
from bluebellpitch.http1.messages import (
    MAX_RESPONSE_BYTES,
    Headers,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    parse_address,
    parse_remote_address,
)
from bluebellpitch.http1.server import HttpServer, ServerConnection

__all__ = [
    "MAX_DISCARDED_BYTES",
    "MAX_RESPONSE_BYTES",
    "ClientConnection",
    "Headers",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "ServerConnection",
    "decode_headers",
    "fetch",
    "parse_address",
    "parse_remote_address",
]
