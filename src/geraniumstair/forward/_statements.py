"""What an endpoint states in its answers: its end, pauses and a rate limit."""

import dataclasses
import logging
import math

from geraniumstair import discovery
from geraniumstair import observe

_LOG = logging.getLogger(__name__)
# Least time between two log lines about the value of an endpoint's limit.
LIMIT_LOG_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True)
class Wishes:
    """What an instance stated in its answers to this node.

    Attributes:
        leaving: It shuts down, whatever its registration still says.
        paused_until_s: Until when it wants no requests from this node.
    """

    leaving: bool = False
    paused_until_s: float = -math.inf

    def is_paused(self, now_s: float) -> bool:
        """Returns whether the endpoint wants no requests from this node."""
        return now_s < self.paused_until_s


def log_wish(
    entry: discovery.EndpointEntry, message: str, pause_s: float | None = None
) -> None:
    """Logs that an endpoint stated a wish.

    Args:
        entry: The endpoint.
        message: The wish.
        pause_s: How long it wants no requests; None for another wish.
    """
    _LOG.info(
        "forward: %s",
        message,
        extra=observe.fields(
            endpoint=entry.endpoint_id,
            service=entry.service,
            state=entry.state.value,
            pause_s=pause_s,
        ),
    )


class RateStatement:
    """The request rate limit that an endpoint states.

    Attributes:
        limit_per_s: Requests a second that the endpoint accepts from all nodes
            together, as its last answer states; None without a limit.
        limited_since_s: When this node first knew of a limit.
        observed_s: When the answer arrived that shows the present limit, or
            that there is none.
    """

    def __init__(self) -> None:
        self.limit_per_s: float | None = None
        self.limited_since_s = 0.0
        self.observed_s = -math.inf
        # For the log: when the limit was last logged, its value then, and the
        # calls since.
        self._logged_at_s = -math.inf
        self._logged_limit_per_s: float | None = None
        self._calls = 0

    def count_call(self) -> None:
        """Counts a call that is sent while there is a limit, for the log."""
        self._calls += 1

    def observe(
        self,
        entry: discovery.EndpointEntry,
        limit_per_s: float | None,
        observed_s: float,
        now_s: float,
    ) -> None:
        """Applies the limit of an answer, unless a newer answer is known.

        Args:
            entry: The endpoint, for the log.
            limit_per_s: What the endpoint stated; None for an answer without a
                limit.
            observed_s: When a node got the answer, on the monotonic clock.
            now_s: Present time, on the monotonic clock.
        """
        if observed_s < self.observed_s:
            return
        self.observed_s = observed_s
        if limit_per_s == self.limit_per_s:
            return
        began_or_ended = None in (limit_per_s, self.limit_per_s)
        if self.limit_per_s is None:
            self.limited_since_s = now_s
        self.limit_per_s = limit_per_s
        # An endpoint may state another value in each answer.
        if began_or_ended or now_s >= self._logged_at_s + LIMIT_LOG_INTERVAL_S:
            self._log(entry, now_s)

    def _log(self, entry: discovery.EndpointEntry, now_s: float) -> None:
        _LOG.info(
            "forward: an endpoint changed its request rate limit",
            extra=observe.fields(
                endpoint=entry.endpoint_id,
                service=entry.service,
                limit_per_s=self.limit_per_s,
                earlier_limit_per_s=self._logged_limit_per_s,
                calls_at_earlier_limit=self._calls,
            ),
        )
        self._logged_at_s = now_s
        self._logged_limit_per_s = self.limit_per_s
        self._calls = 0
