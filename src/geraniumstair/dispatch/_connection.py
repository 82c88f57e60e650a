"""Worker tasks, each of which manages one connection to an endpoint."""

import dataclasses
from typing import Protocol

import trio

from geraniumstair.dispatch import _client

# Time to wait for the 499 response or the late answer of an abandoned request
# before its connection is closed.
LATE_REPLY_WAIT_S = 0.25
# Pause after the endpoint sheds a request, so that its load may have changed
# before the next request.
SHED_PAUSE_S = 0.02
_RECONNECT_DELAY_S = 0.1
_MAX_RECONNECT_DELAY_S = 2.0


class SendCheck(Protocol):
    """Decides whether a request may be sent, right before the first byte."""

    def __call__(self, attempt: "Attempt") -> bool:
        """Returns whether to send the request; otherwise it is withdrawn."""


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to have a request answered by one endpoint.

    Attributes:
        request: Request to send.
        deadline_s: Deadline on the monotonic clock.
        may_send: Called right before sending.
        abandoned: Whether the caller no longer waits for the reply.
        sent_s: Time when sending began; 0 before.
        scope: Cancel scope that bounds the wait for the reply; None unless a
            worker is processing the attempt.
    """

    request: _client.EndpointRequest
    deadline_s: float
    may_send: SendCheck
    abandoned: bool = False
    sent_s: float = 0.0
    scope: trio.CancelScope | None = None


@dataclasses.dataclass(slots=True)
class CancelJob:
    """Job that cancels a request that runs on another connection."""

    request_id: bytes


@dataclasses.dataclass(slots=True)
class StatusProbe:
    """Job that fetches the status of an endpoint that gets no requests."""


Job = Attempt | CancelJob | StatusProbe


class ConnectionListener(Protocol):
    """Receives the events of connection workers.

    Attributes:
        client: Opens the connections of the workers.
    """

    client: _client.EndpointClient

    def on_connected(self, worker: "ConnectionWorker") -> bool:
        """Handles an opened connection; returns False if it isn't needed."""

    def on_connection_lost(self) -> None:
        """Handles a connection that the endpoint closed or that failed."""

    def on_connect_failed(self, worker: "ConnectionWorker") -> bool:
        """Handles a failed connect; returns False to end the worker."""

    def on_idle(self, worker: "ConnectionWorker") -> bool:
        """Handles a worker that is ready for a job; returns False to end it."""

    def on_attempt_finished(
        self, attempt: Attempt, reply: _client.EndpointReply, withdrawn: bool
    ) -> None:
        """Handles the end of an attempt; a withdrawn one was never sent."""

    def on_probe_finished(self, reply: _client.EndpointReply) -> None:
        """Handles the reply to a status probe."""

    def on_worker_ended(self, worker: "ConnectionWorker") -> None:
        """Handles the end of a worker."""


_WITHDRAWN = _client.EndpointReply(
    _client.Outcome.NOT_SENT, "the request was withdrawn before it was sent"
)
_NO_REPLY = _client.EndpointReply(
    _client.Outcome.CONNECTION_LOST, "the endpoint did not reply in time"
)


class ConnectionWorker:
    """Keeps one connection open and runs one job at a time."""

    def __init__(self, listener: ConnectionListener) -> None:
        self._listener = listener
        self._connection: _client.EndpointConnection | None = None
        self._job: Job | None = None
        self._wake = trio.Event()
        self._closing = False
        self._ended = False
        # Whether anything was sent over the current connection.
        self._connection_used = False
        self._scope = trio.CancelScope()

    def assign(self, job: Job) -> None:
        """Assigns a job to the worker, which must be idle."""
        self._job = job
        self._wake.set()

    def close(self) -> None:
        """Ends the worker, which must be idle."""
        self._closing = True
        self._wake.set()

    async def run(self) -> None:
        """Runs jobs until the endpoint no longer needs the connection."""
        try:
            while not self._ended:
                # One cancel scope is used for many requests, because entering
                # a scope costs more than moving its deadline. The scope is
                # left when a reply didn't arrive in time.
                with trio.CancelScope() as self._scope:
                    await self._run_jobs()
        finally:
            job, self._job = self._job, None
            if isinstance(job, Attempt):
                self._listener.on_attempt_finished(job, _WITHDRAWN, True)
            self._listener.on_worker_ended(self)
            await self._disconnect()

    async def _run_jobs(self) -> None:
        while not self._closing and await self._ensure_connected():
            if self._job is None and not self._listener.on_idle(self):
                break
            if self._job is None:
                await self._wake.wait()
            self._wake = trio.Event()
            await self._run_job()
            if self._scope.cancel_called:
                # The reply arrived just as the scope was cancelled. The next
                # wait in this scope would be cancelled, so a new one is
                # needed.
                return
        self._ended = True

    async def _disconnect(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            with trio.CancelScope(shield=True, deadline=trio.current_time()):
                await connection.aclose()

    async def _close_unusable_connection(self) -> None:
        if self._connection is None:
            return
        self._listener.on_connection_lost()
        await self._disconnect()
        if not self._connection_used:
            # An endpoint at its limit of connections closes new ones at once.
            await trio.sleep(_RECONNECT_DELAY_S)

    async def _ensure_connected(self) -> bool:
        delay_s = _RECONNECT_DELAY_S
        while True:
            if self._connection is not None and self._connection.usable:
                return True
            await self._close_unusable_connection()
            try:
                self._connection = await self._listener.client.connect()
            except OSError:
                if not self._listener.on_connect_failed(self):
                    return False
                await trio.sleep(delay_s)
                delay_s = min(2 * delay_s, _MAX_RECONNECT_DELAY_S)
            else:
                self._connection_used = False
                return self._listener.on_connected(self)

    async def _run_job(self) -> None:
        job, self._job = self._job, None
        if job is None:
            return
        if isinstance(job, Attempt):
            await self._run_attempt(job)
            return
        connection = self._connection
        if connection is None or not connection.usable:
            return
        self._connection_used = True
        if isinstance(job, CancelJob):
            await connection.cancel(job.request_id)
        else:
            self._listener.on_probe_finished(await connection.status())

    async def _run_attempt(self, attempt: Attempt) -> None:
        reply: _client.EndpointReply | None = None
        withdrawn = False
        scope = self._scope
        scope.deadline = attempt.deadline_s + LATE_REPLY_WAIT_S
        attempt.scope = scope
        try:
            if self._connection is None or not self._connection.usable:
                # The endpoint closed the connection while it was idle. The
                # request returns to the queue, since the endpoint may have
                # restarted.
                reply = _WITHDRAWN
                withdrawn = True
            elif attempt.abandoned or not attempt.may_send(attempt):
                reply = _WITHDRAWN
                withdrawn = True
            else:
                reply = await self._send(attempt)
        finally:
            attempt.scope = None
            scope.deadline = float("inf")
            if reply is None:
                reply = _NO_REPLY if attempt.sent_s else _WITHDRAWN
                withdrawn = not attempt.sent_s
            self._listener.on_attempt_finished(attempt, reply, withdrawn)
        if reply.outcome is _client.Outcome.SHED:
            # Queued requests are dispatched when the worker becomes idle again.
            await trio.sleep(SHED_PAUSE_S)

    async def _send(self, attempt: Attempt) -> _client.EndpointReply:
        assert self._connection is not None
        self._connection_used = True
        now_s = trio.current_time()
        attempt.sent_s = now_s
        attempt.request.remaining_ms = (attempt.deadline_s - now_s) * 1000
        return await self._connection.search(attempt.request)
