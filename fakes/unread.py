"""A caller that sends a request and reads nothing of its response."""

import asyncio
import socket

from bluebellpitch.http1 import parse_address

# So small that little of a response leaves the VM.
SMALL_BUFFER_BYTES = 4_096


async def call_without_reading(address: str, request: bytes) -> socket.socket:
    """Sends a request and reads nothing; returns the caller's socket."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, parse_address(address))
    await loop.sock_sendall(caller, request)
    return caller
