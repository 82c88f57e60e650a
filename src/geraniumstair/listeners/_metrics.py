"""Counters of a listener."""

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
        registry = registry or observe.MetricsRegistry()
        self.dropped = registry.counter(
            "listeners",
            "dropped_connections",
            "Connections that were closed without a response, by reason.",
            ["reason"],
        )
        self.refused = registry.counter(
            "listeners",
            "refused_requests",
            "Requests that the listener refused, by status.",
            ["status"],
        )
        self.connections = registry.gauge(
            "listeners", "connections", "Open connections of callers."
        )
        self.held_bytes = registry.gauge(
            "listeners", "held_bytes", "Memory that these connections hold."
        )
        self.waiting = registry.gauge(
            "listeners",
            "waiting_connections",
            "Connections that wait for memory.",
        )
