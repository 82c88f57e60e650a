"""Decides whether and when a request counts as run, for usage reports.

A request counts once, however many calls serve it, as soon as it ends and some
endpoint ran it or may have run it. If a call is still unanswered after a
second, the request counts before its end. If the endpoint rejects this call
later, the request is taken back.
"""

from collections.abc import Callable
import math
from typing import Protocol

import trio

from geraniumstair.forward import _call
from geraniumstair.forward import _parts

# Time after which an unanswered call counts as run.
UNANSWERED_S = 1.0
# Interval of the check for such calls.
CHECK_INTERVAL_S = 0.25


class UsageRecorder(Protocol):
    """Counts requests that endpoints ran, by client account."""

    def count(self, account: str, age_s: float) -> int:
        """Counts a request; returns the window in which it counts.

        Args:
            account: The client account.
            age_s: Time since the first call that an endpoint accepted.
        """
        ...

    def take_back(self, account: str, window: int) -> bool:
        """Takes a request back; returns False if it is too late for that."""
        ...


class RequestRuns:
    """The calls of one request that endpoints ran or may have run.

    Args:
        account: The client account.
        recorder: Counts the request.
        clock: Returns a monotonic time in s, as that of the calls.
    """

    def __init__(
        self, account: str, recorder: UsageRecorder, clock: Callable[[], float]
    ) -> None:
        self._account = account
        self._recorder = recorder
        self._clock = clock
        self._calls: dict[_call.Call, None] = {}
        # Groups of shards that other nodes call, and when they were asked.
        self._groups: dict[_parts.ShardGroup, float] = {}
        self._finished = False
        self._counted: tuple[float, int] | None = None

    def add(self, call: _call.Call) -> None:
        """Adds a call before it is submitted."""
        self._calls[call] = None
        call.observer = self

    def on_call_ended(self, call: _call.Call, reply: _call.Reply) -> None:
        """See `CallObserver`; also called for calls that were abandoned."""
        if reply.outcome.not_run and call in self._calls:
            del self._calls[call]
            self._correct()

    def add_group(self, group: _parts.ShardGroup) -> None:
        """Adds shards that another node is asked to call."""
        self._groups[group] = self._clock()

    def end_group(
        self, group: _parts.ShardGroup, reply: _parts.GroupReply
    ) -> None:
        """Records what another node returned for a group of shards."""
        tried = (reply.tried.get(shard) for shard in group.shards)
        # Endpoints of a shard that are not stated are unknown.
        may_have_run = bool(reply.signatures) or (
            reply.may_have_run and any(t != frozenset() for t in tried)
        )
        if not may_have_run and group in self._groups:
            del self._groups[group]
            self._correct()

    def finish(self) -> None:
        """Counts the request at its end, also if its caller has left."""
        self._finished = True
        self._update()

    def count_if_overdue(self) -> None:
        """Counts the request if a call has been unanswered for a second."""
        if self._clock() >= self._find_first_sent_s() + UNANSWERED_S:
            self._update()

    def _correct(self) -> None:
        if self._finished or self._counted is not None:
            self._update()

    def _find_first_sent_s(self) -> float:
        """Returns when the first call that may have run was sent."""
        sent = [call.sent_s for call in self._calls if call.sent]
        return min([*sent, *self._groups.values()], default=math.inf)

    def _update(self) -> None:
        first_s = self._find_first_sent_s()
        if self._counted is not None:
            counted_s, window = self._counted
            if first_s == counted_s or not self._recorder.take_back(
                self._account, window
            ):
                return
            self._counted = None
        age_s = self._clock() - first_s
        if first_s < math.inf and (self._finished or age_s >= UNANSWERED_S):
            window = self._recorder.count(self._account, age_s)
            self._counted = (first_s, window)


class OpenRequests:
    """The requests in progress that may have to be counted.

    Args:
        recorder: Counts requests; None counts none.
    """

    def __init__(self, recorder: UsageRecorder | None) -> None:
        self._recorder = recorder
        self._open: dict[RequestRuns, None] = {}

    def begin(self, request: _call.CallerRequest) -> RequestRuns | None:
        """Returns the calls of a new request; None if it does not count."""
        if self._recorder is None or not request.account:
            return None
        runs = RequestRuns(request.account, self._recorder, trio.current_time)
        self._open[runs] = None
        return runs

    def end(self, runs: RequestRuns) -> None:
        """Counts a request at its end."""
        del self._open[runs]
        runs.finish()

    async def run(self) -> None:
        """Counts requests with unanswered calls, until cancelled."""
        while self._recorder is not None:
            await trio.sleep(CHECK_INTERVAL_S)
            for runs in self._open:
                runs.count_if_overdue()
