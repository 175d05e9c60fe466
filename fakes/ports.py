"""Free ports and addresses of the loopback, for processes that may start there again."""

import random
import socket

# Below the ports that the system gives to outgoing connections, which would take a stopped
# process's port.
LISTENING_PORTS = (15_000, 32_000)


def free_port() -> int:
    """Returns a port that nobody uses now."""
    while True:
        port = random.SystemRandom().randrange(*LISTENING_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def free_address() -> str:
    """Returns a free address."""
    return f"127.0.0.1:{free_port()}"
