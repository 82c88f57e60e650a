"""Prometheus metrics of the dispatcher, with bounded label sets."""

from geraniumstair import observe
from geraniumstair._generated import codes

_METRICS = observe.process_metrics()
_REPLIES = _METRICS.counter(
    "dispatch",
    "replies",
    "Replies of the owner role by result code.",
    ["code"],
)
_EXTRA_REQUESTS = _METRICS.counter(
    "dispatch",
    "extra_requests",
    "Endpoint requests beyond the first one of a shard request.",
    ["kind"],
)
_COLD_RAMPS = _METRICS.counter(
    "dispatch",
    "cold_ramps",
    "Cold ramps by reason.",
    ["reason"],
)
_EJECTIONS = _METRICS.counter("dispatch", "ejections", "Outlier ejections.")
_ATTEMPTS = _METRICS.counter(
    "dispatch", "attempts", "Requests given to endpoints."
)
_QUEUE_WAIT_S = _METRICS.histogram(
    "dispatch",
    "queue_wait_seconds",
    "Time between the arrival of a shard request and its first attempt.",
)
_REPLIES_BY_CODE = {int(c): _REPLIES.labels(c.name) for c in codes.Code}
_HEDGES = _EXTRA_REQUESTS.labels("hedge")
_RETRIES = _EXTRA_REQUESTS.labels("retry")


def count_reply(code: int) -> None:
    """Counts a reply to a shard request.

    Args:
        code: Result code.
    """
    _REPLIES_BY_CODE[code].inc()


def count_hedge() -> None:
    """Counts a hedge."""
    _HEDGES.inc()


def count_retry() -> None:
    """Counts a retry."""
    _RETRIES.inc()


def count_cold_ramp(reason: str) -> None:
    """Counts a restart of an endpoint's ramp.

    Args:
        reason: Label; a string literal of this package, so that the set of
            labels stays bounded.
    """
    _COLD_RAMPS.labels(reason).inc()


def count_ejection() -> None:
    """Counts an ejection of an endpoint."""
    _EJECTIONS.inc()


def count_attempt() -> None:
    """Counts an attempt at an endpoint."""
    _ATTEMPTS.inc()


def observe_queue_wait(wait_s: float) -> None:
    """Records how long a request waited for its first attempt, in s."""
    _QUEUE_WAIT_S.observe(wait_s)
