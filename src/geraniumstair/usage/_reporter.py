"""Records and sends the reports while this node holds the duty."""

from collections.abc import Callable
from collections.abc import Mapping
import enum
import logging
import math
from typing import Any
from typing import Protocol

import result
import trio

from geraniumstair import observe
from geraniumstair import store
from geraniumstair.usage import _election
from geraniumstair.usage import _holder
from geraniumstair.usage import _metrics
from geraniumstair.usage import _report
from geraniumstair.usage import _totals
from geraniumstair.usage import _windows

_LOG = logging.getLogger(__name__)
RECORD_KEY = "geraniumstair/usage/record"
CHECK_INTERVAL_S = 0.25
# Time within which an act has left this node: a call of the API opens its
# connection and sends its request, a transaction is sent.
ACT_S = 1.0
# Time that is left to the act when its request is about to be sent.
SEND_S = 0.1
# Delay after a call of the store or the API failed. It doubles up to the limit
# while the API fails.
RETRY_S = 0.5
MAX_RETRY_S = 2.0
# The API refuses calls beyond a number for each second.
THROTTLED_RETRY_S = 1.0


class ApiOutcome(enum.Enum):
    """How a call with a report ended."""

    CONFIRMED = "confirmed"
    """The API has the report."""
    THROTTLED = "throttled"
    """The API takes no more calls for now."""
    NOT_SENT = "not_sent"
    """The request was not sent."""
    FAILED = "failed"
    """The API may have the report."""


class ReportApi(Protocol):
    """The platform's API for reports."""

    async def send_report(
        self, report: _report.Report, token: int, may_send: Callable[[], bool]
    ) -> ApiOutcome:
        """Sends a report, within a bounded time.

        Args:
            report: The report.
            token: Fencing token of this node's term.
            may_send: Called just before the request is sent; if it returns
                False, the request must not be sent.
        """
        ...


class Reporter:
    """Records and sends one window after the other.

    Args:
        queue: Decides what is next.
        windows: The windows of the site.
        totals: The counts of all nodes.
        election: This node's term.
        holder: Ends the term if the store shows that it is over.
        duty_store: The store.
        api: The platform's API.
        site_clock: Returns the site's time, in s since 1970.
        clock: Returns a time in s that counts suspensions.
        metrics: Counts the calls.
    """

    def __init__(
        self,
        queue: _report.ReportQueue,
        windows: _windows.Windows,
        totals: _totals.SiteTotals,
        election: _election.Election,
        holder: _holder.DutyHolder,
        duty_store: _holder.DutyStore,
        api: ReportApi,
        site_clock: Callable[[], float],
        clock: Callable[[], float],
        metrics: _metrics.UsageMetrics,
    ) -> None:
        self._queue = queue
        self._windows = windows
        self._totals = totals
        self._election = election
        self._holder = holder
        self._store = duty_store
        self._api = api
        self._site_clock = site_clock
        self._clock = clock
        self._metrics = metrics
        self._started_s = clock()
        self._due_s = -math.inf
        self._api_retry_s = RETRY_S
        # Term for which the record was read, its last revision and contents.
        self._token = 0
        self._record_revision = 0
        self._stored: _report.Report | None = None
        # The report that is being recorded; its counts do not change any more.
        self._pending: _report.Report | None = None
        # Newest window of which this process has called the API.
        self._tried_window = -1
        # Newest window whose counts this process has fixed.
        self._fixed_window = -1
        self._commit_scope = trio.CancelScope()

    async def run(self) -> None:
        """Records and sends reports until cancelled."""
        while True:
            await self.step()
            await trio.sleep(CHECK_INTERVAL_S)

    async def step(self) -> None:
        """Does what is due now, if this node may act."""
        while self._clock() >= self._due_s:
            token = self._election.find_acting_token(ACT_S)
            if token is None or not await self._act(token):
                return

    async def _act(self, token: int) -> bool:
        """Does one act; returns False if nothing more is due at once."""
        if token != self._token:
            return await self._begin_term(token)
        now_s = self._site_clock()
        self._give_up_expired(now_s)
        if self._pending is not None:
            return await self._record(self._pending, token)
        unsent = self._queue.find_unsent()
        if unsent is not None:
            return await self._send(unsent, token)
        window = self._queue.find_next(now_s)
        if window is None:
            return False
        counts = self._totals.sum_counts(window)
        if not counts and not self._ran_since(self._windows.start_s(window)):
            if not self._queue.skip(window):
                self._give_up(window, _report.Missing.UNKNOWN, {})
            return True
        self._pending = _report.Report(window, counts)
        self._fixed_window = window
        return True

    def _ran_since(self, time_s: float) -> bool:
        age_s = self._clock() - self._started_s
        return self._site_clock() - age_s <= time_s

    # ---- windows without a report ----

    def _give_up_expired(self, now_s: float) -> None:
        unsent = self._queue.find_unsent()
        if unsent is not None and self._queue.is_expired(unsent, now_s):
            reason = _report.Missing.NOT_REPEATED
            if unsent.window == self._tried_window:
                reason = _report.Missing.NOT_CONFIRMED
            elif unsent.window == self._fixed_window:
                reason = _report.Missing.NOT_RECORDED
            self._give_up(unsent.window, reason, unsent.counts)
        for window in self._queue.find_expired(now_s):
            self._give_up(
                window,
                _report.Missing.NOT_RECORDED,
                self._totals.sum_counts(window),
            )
        pending = self._pending
        if pending is not None and self._queue.is_expired(pending, now_s):
            self._pending = None

    def _give_up(
        self, window: int, reason: _report.Missing, counts: Mapping[str, int]
    ) -> None:
        self._metrics.missed.labels(reason.value).inc()
        self._queue.give_up(window, reason, counts)

    # ---- record ----

    async def _begin_term(self, token: int) -> bool:
        """Reads the record; what former holders wrote is complete by then.

        Their transactions require their own holder key, which is gone.
        """
        if not await self._read_record():
            return False
        self._token = token
        self._pending = None
        newest = self._queue.newest
        stored_window = self._stored.window if self._stored is not None else -1
        if newest is not None and newest.window > stored_window:
            # A restore of the store has lost the record.
            self._pending = newest
        return True

    async def _read_record(self) -> bool:
        found = await self._store.get(RECORD_KEY)
        if isinstance(found, result.Err):
            self._postpone(RETRY_S)
            return False
        item = found.ok_value
        stored = _report.decode_report(item.value) if item is not None else None
        self._record_revision = item.mod_revision if item is not None else 0
        self._stored = stored
        if stored is not None:
            self._queue.observe(stored)
        return True

    def observe_record(self, report: _report.Report, revision: int) -> None:
        """Applies the record as the mirror has it.

        Args:
            report: The recorded report.
            revision: Ordered revision of the record.
        """
        self._queue.observe(report)
        if report == self._pending and revision > self._record_revision:
            # The answer to the transaction may have been lost.
            self._record_revision = revision
            self._pending = None
            self._due_s = -math.inf
            self._commit_scope.cancel()

    async def _record(self, report: _report.Report, token: int) -> bool:
        """Records a report; returns True if it is recorded."""
        compares = [
            store.Compare(key, store.CompareTarget.MOD_REVISION, revision)
            for key, revision in (
                (_holder.HOLDER_KEY, token),
                (RECORD_KEY, self._record_revision),
            )
        ]
        put = store.Put(RECORD_KEY, _report.encode_report(report))
        with trio.CancelScope() as self._commit_scope:
            outcome = await self._store.commit(
                store.Transaction(compares=compares, puts=[put])
            )
        if self._pending is None:
            # The mirror has shown the record before the store answered.
            return True
        if isinstance(outcome, result.Err):
            # Whether it was executed or not, the same counts are tried again.
            _LOG.info(
                "usage: cannot record the report of a window: %s",
                outcome.err_value.detail,
                extra=observe.fields(window=report.window),
            )
            self._postpone(RETRY_S)
            return False
        if not outcome.ok_value.committed:
            return await self._resolve(token)
        self._record_revision = outcome.ok_value.revision
        self._pending = None
        self._queue.observe(report)
        return True

    async def _resolve(self, token: int) -> bool:
        """Finds out why a record was refused, and takes over what is stored."""
        if not await self._read_record():
            return False
        pending = self._pending
        if pending == self._stored:
            # An earlier transaction has succeeded after all.
            self._pending = None
            return True
        found = await self._store.get(_holder.HOLDER_KEY)
        if isinstance(found, result.Err):
            self._postpone(RETRY_S)
            return False
        key = found.ok_value
        if key is None or key.create_revision != token:
            if self._election.token == token:
                self._holder.lose("the store has another holder")
            return False
        if (
            pending is not None
            and self._stored is not None
            and self._stored.window >= pending.window
        ):
            # Other counts have won.
            self._pending = None
        self._postpone(RETRY_S)
        return True

    # ---- call ----

    async def _send(self, report: _report.Report, token: int) -> bool:
        self._tried_window = report.window
        outcome = await self._api.send_report(
            report,
            token,
            lambda: self._election.find_acting_token(SEND_S) == token,
        )
        self._metrics.calls.labels(outcome.value).inc()
        if outcome is ApiOutcome.CONFIRMED:
            self._api_retry_s = RETRY_S
            self._queue.confirm(report)
            _LOG.info(
                "usage: the report of a window was sent",
                extra=observe.fields(
                    window=report.window,
                    token=token,
                    accounts=len(report.counts),
                    requests=sum(report.counts.values()),
                    nodes=self._totals.count_nodes(report.window),
                    age_s=round(
                        self._site_clock() - self._windows.end_s(report.window),
                        2,
                    ),
                ),
            )
            return True
        _LOG.info(
            "usage: the API has not confirmed the report of a window",
            extra=observe.fields(
                window=report.window, token=token, outcome=outcome.value
            ),
        )
        if outcome is ApiOutcome.THROTTLED:
            self._postpone(THROTTLED_RETRY_S)
        else:
            self._postpone(self._api_retry_s)
            self._api_retry_s = min(2 * self._api_retry_s, MAX_RETRY_S)
        return False

    def _postpone(self, delay_s: float) -> None:
        self._due_s = self._clock() + delay_s

    def dump(self) -> Mapping[str, Any]:
        """Returns the state for the state dump."""
        newest = self._queue.newest
        return {
            "recorded_window": newest.window if newest is not None else None,
            "confirmed_window": self._queue.confirmed,
            "pending_window": self._pending.window if self._pending else None,
            "missed": [
                {
                    "window": missed.window,
                    "reason": missed.reason.value,
                    "requests": sum(missed.counts.values()),
                }
                for missed in self._queue.missed
            ],
        }
