"""Allocates free TCP ports on loopback."""

import random
import socket

# The range is below the kernel's ephemeral ports, so that no outgoing
# connection occupies a port before its server binds it.
_FIRST_PORT = 10000
_LAST_PORT = 32000

_allocated_ports: set[int] = set()


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def allocate_ports(count: int) -> list[int]:
    """Returns ports that are free now, and never returns a port twice."""
    rng = random.SystemRandom()
    ports: list[int] = []
    while len(ports) < count:
        port = rng.randrange(_FIRST_PORT, _LAST_PORT)
        if port not in _allocated_ports and _is_free(port):
            _allocated_ports.add(port)
            ports.append(port)
    return ports
