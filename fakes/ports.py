"""Free loopback ports and addresses, for processes that may be restarted at the same address."""

import random
import socket
from collections.abc import Iterator

# Below the ephemeral ports: an outgoing connection could otherwise take the port of a stopped
# process before its restart.
PORT_RANGE = (15_000, 32_000)


def shuffled_ports(ports: range) -> Iterator[int]:
    """Yields the ports in random order, each once in a round."""
    while True:
        yield from random.SystemRandom().sample(ports, len(ports))


# Shared by all callers: a port is free until its process binds it, well after it was drawn.
_DRAWN_PORTS = shuffled_ports(range(*PORT_RANGE))


def free_port() -> int:
    """Returns a port that is not in use now and was not returned before."""
    return next(port for port in _DRAWN_PORTS if is_free(port))


def is_free(port: int) -> bool:
    """Returns whether a loopback port can be bound now."""
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


def free_address() -> str:
    """Returns a loopback address whose port is not in use now."""
    return f"127.0.0.1:{free_port()}"
