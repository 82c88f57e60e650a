"""Byte counters of the peer streams, by direction and traffic class."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from geraniumstair import _struct
from geraniumstair import observe
from geraniumstair._generated import messages

if TYPE_CHECKING:
    from prometheus_client import metrics_core

_SEARCH_TYPES: tuple[type[_struct.Message], ...] = (
    messages.ShardRequest,
    messages.ShardReply,
    messages.CancelSearch,
    messages.SnapshotQuery,
    messages.SnapshotReply,
    messages.ClaimRequest,
    messages.ClaimReply,
    messages.ClaimOutcome,
)
_SEARCH_TAGS = frozenset(t.__name__.encode() for t in _SEARCH_TYPES)
_MSGPACK_ARRAY_16 = 0xDC


def _is_search_body(body: bytes) -> bool:
    """Returns whether an encoded message belongs to a search.

    Reads only the tag, a msgpack fixstr with its length in the low 5 bits of
    the first byte, without decoding the message.
    """
    if len(body) < 2:
        return False
    start = 4 if body[0] == _MSGPACK_ARRAY_16 else 2
    length = body[start - 1] & 0x1F
    return body[start : start + length] in _SEARCH_TAGS


def is_search(message: _struct.Message) -> bool:
    """Returns whether a message is search traffic and not control traffic.

    Calls and their replies have the class of the message in their body.
    """
    if isinstance(message, messages.Call | messages.Return):
        return _is_search_body(message.body)
    return isinstance(message, _SEARCH_TYPES)


class TrafficCounters:
    """Counters of message bytes, including frame headers.

    The counters are updated for each message of a search. They are therefore
    plain integers, and samples are created only when the metrics are read.
    """

    def __init__(self) -> None:
        # Bytes of control messages at index 0, of search messages at index 1.
        self._sent = [0, 0]
        self._received = [0, 0]

    def count_sent(self, message: _struct.Message, size_bytes: int) -> None:
        """Adds a message that is queued for sending."""
        self._sent[is_search(message)] += size_bytes

    def count_received(self, message: _struct.Message, size_bytes: int) -> None:
        """Adds a received message."""
        self._received[is_search(message)] += size_bytes

    def collect(self) -> "Iterator[metrics_core.Metric]":
        """Returns the samples for Prometheus."""
        # The library is imported when the metrics are read; see `observe`.
        from prometheus_client import metrics_core

        family = metrics_core.CounterMetricFamily(
            "geraniumstair_peer_bytes",
            "Bytes of messages on the peer streams.",
            labels=["direction", "class"],
        )
        for direction, counts in (
            ("sent", self._sent),
            ("received", self._received),
        ):
            family.add_metric([direction, "control"], counts[False])
            family.add_metric([direction, "search"], counts[True])
        yield family


TRAFFIC = TrafficCounters()
observe.process_metrics().register(TRAFFIC)
