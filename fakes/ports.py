"""Free loopback ports and addresses, for processes that may be restarted at the same address."""

import random
import socket

# Below the ephemeral ports: an outgoing connection could otherwise take the port of a stopped
# process before its restart.
PORT_RANGE = (15_000, 32_000)


def free_port() -> int:
    """Returns a port that is not in use now."""
    while True:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def free_address() -> str:
    """Returns a loopback address whose port is not in use now."""
    return f"127.0.0.1:{free_port()}"
