"""Counters of a listener."""

from collections.abc import Callable
import enum

from geraniumstair import observe


class DropReason(enum.StrEnum):
    """Why a connection was closed without a response.

    Attributes:
        MEMORY: The connections held too much memory.
        DESCRIPTORS: There were too many connections.
        SLOW_READER: The client read its response too slowly.
        IDLE: The connection carried no request for too long.
    """

    MEMORY = "memory"
    DESCRIPTORS = "descriptors"
    SLOW_READER = "slow_reader"
    IDLE = "idle"


class ListenerMetrics:
    """Metrics of one listener.

    Args:
        registry: Where the metrics are registered; None uses a private
            registry.
    """

    def __init__(self, registry: observe.MetricsRegistry | None = None) -> None:
        self._registry = registry or observe.MetricsRegistry()
        self.dropped = self._registry.counter(
            "listeners",
            "dropped_connections",
            "Connections that were closed without a response, by reason.",
            ["reason"],
        )
        self.refused = self._registry.counter(
            "listeners",
            "refused_requests",
            "Requests that the listener refused, by status.",
            ["status"],
        )

    def register_gauges(
        self,
        count_connections: Callable[[], int],
        read_held_bytes: Callable[[], int],
        count_waiting: Callable[[], int],
    ) -> None:
        """Registers the gauges of a listener.

        Args:
            count_connections: Returns the number of open connections.
            read_held_bytes: Returns the memory that they hold, in bytes.
            count_waiting: Returns the number that waits for memory.
        """
        self._registry.gauge(
            "listeners",
            "connections",
            "Open connections of callers.",
            count_connections,
        )
        self._registry.gauge(
            "listeners",
            "held_bytes",
            "Memory that these connections hold.",
            read_held_bytes,
        )
        self._registry.gauge(
            "listeners",
            "waiting_connections",
            "Connections that wait for memory.",
            count_waiting,
        )
