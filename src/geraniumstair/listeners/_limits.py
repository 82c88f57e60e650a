"""Limits of a listener."""

import dataclasses
from typing import Protocol

_MIB = 1024 * 1024
# Resident size of a node that serves a large site without callers, rounded up.
_PROCESS_BYTES = 56 * _MIB
# Share of the rest that connections may hold. The remainder is for responses of
# endpoints, copies that exist for a moment, and fragmentation.
_CONNECTION_SHARE = 0.5
_MIN_CONNECTION_BYTES = 8 * _MIB
# Descriptors for endpoints, other nodes, the store and metrics.
_OTHER_DESCRIPTORS_SHARE = 0.25
_MIN_CONNECTIONS = 16
# Memory of an open connection: its task, stream and buffers of the library.
# 7.4 KiB were measured.
CONNECTION_BYTES = 10 * 1024
# Share of the memory that connections may use without holding any request.
_IDLE_SHARE = 0.5


class RequestLimits(Protocol):
    """What one client may send, and how long it may take."""

    @property
    def max_header_bytes(self) -> int:
        """Largest head of a request."""
        ...

    @property
    def max_body_bytes(self) -> int:
        """Largest body of a request."""
        ...

    @property
    def header_timeout_s(self) -> float:
        """Greatest time between the first and the last byte of a head."""
        ...

    @property
    def idle_timeout_s(self) -> float:
        """Greatest time in which a connection carries no request."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class ResourceLimits:
    """What all connections of a listener may use together.

    Attributes:
        max_bytes: Bytes that the connections may hold.
        max_connections: Number of open connections.
    """

    max_bytes: int
    max_connections: int


def derive_resource_limits(
    memory_bytes: int, max_descriptors: int
) -> ResourceLimits:
    """Returns the limits of the callers' listener of a process.

    Args:
        memory_bytes: Memory of the process.
        max_descriptors: Descriptors that the process may open.
    """
    max_bytes = max(
        _MIN_CONNECTION_BYTES,
        int((memory_bytes - _PROCESS_BYTES) * _CONNECTION_SHARE),
    )
    connections = min(
        max_descriptors * (1 - _OTHER_DESCRIPTORS_SHARE),
        max_bytes * _IDLE_SHARE / CONNECTION_BYTES,
    )
    return ResourceLimits(max_bytes, max(_MIN_CONNECTIONS, int(connections)))
