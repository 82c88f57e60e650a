"""Connections, response parsing and latencies for calls to endpoints."""

from geraniumstair.calls._connect import connect
from geraniumstair.calls._latency import LatencyWindow
from geraniumstair.calls._response import InvalidResponse
from geraniumstair.calls._response import Response
from geraniumstair.calls._response import ResponseReader

__all__ = [
    "InvalidResponse",
    "LatencyWindow",
    "Response",
    "ResponseReader",
    "connect",
]
