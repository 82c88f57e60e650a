"""Connection to one peer over an authenticated stream."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import logging
import math

import result
import trio

from geraniumstair import _struct
from geraniumstair import errors
from geraniumstair import wire
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from geraniumstair.peers import _transport

_LOG = logging.getLogger(__name__)

UNRESPONSIVE_AFTER_MS = 250.0
PING_INTERVAL_MS = 100.0
# A peer that sends nothing for this time, although it is pinged, is unreachable
# or has stopped. Only a new stream can show which.
DEAD_STREAM_TIMEOUT_MS = 5000.0
# A stream on which nothing is received for this time is pinged.
IDLE_PING_INTERVAL_MS = 30000.0
# The same for a stream on which one-way messages arrive, such as notices of
# changes. Nothing else shows that they stay away.
ONE_WAY_PING_INTERVAL_MS = 1000.0
# A stream is silent after this number of pings without any message from the
# peer. Counting pings, not time, leaves out the time in which this process did
# not run.
SILENT_AFTER_PINGS = 5
SEND_QUEUE_LIMIT_BYTES = 4 * 1024 * 1024
ONE_WAY_QUEUE_LIMIT = 1024
MAX_INBOUND_CALLS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class PeerFailure:
    """The reason why a call got no reply.

    Attributes:
        sent: False only if no byte of the request was sent.
        detail: Description for logs.
    """

    sent: bool
    detail: str


ResultCallback = Callable[[result.Result[_struct.Message, PeerFailure]], None]
CancelCall = Callable[[], bool]


@dataclasses.dataclass(slots=True, eq=False)
class _PendingCall:
    """A call of this node that has no reply yet.

    Attributes:
        ticket: Identifies the request in the send queue of the stream.
        on_done: Called when `reply` or `failure` is set.
        reply: The decoded reply.
        failure: Why there is no reply; empty if not known.
    """

    ticket: int
    on_done: Callable[[], None]
    reply: _struct.Message | None = None
    failure: str = ""


class Connection:
    """Calls and one-way messages in both directions over one stream.

    Attributes:
        peer_id: Node id of the peer.
        incarnation: Start time of the peer's process in ms since 1970.
        dialed: True if this node opened the stream.
    """

    def __init__(
        self,
        stream: wire.MessageStream,
        peer_id: str,
        incarnation: int,
        dialed: bool,
        handlers: Mapping[type, _transport.AsyncHandler],
        sync_handlers: Mapping[type, _transport.SyncHandler],
    ) -> None:
        self.peer_id = peer_id
        self.incarnation = incarnation
        self.dialed = dialed
        self._stream = stream
        self._handlers = handlers
        self._sync_handlers = sync_handlers
        # By call id, functions that abort the peer's calls to sync handlers
        # without a reply yet.
        self._sync_call_aborts: dict[int, Callable[[], None]] = {}
        self._pending_calls: dict[int, _PendingCall] = {}
        self._next_call_id = 0
        self._inbound_call_count = 0
        self._closed = False
        self._write_requested = trio.Event()
        self._ping_requested = trio.Event()
        self._received = trio.Event()
        self._last_received_s = trio.current_time()
        self._last_one_way_s = -math.inf
        # Pings sent since the last message from the peer.
        self._unanswered_pings = 0
        self._became_silent = trio.Event()
        # Time since when a message from the peer is expected; None if none is.
        self._expecting_message_since_s: float | None = None
        self._scope = trio.CancelScope()
        self._one_way_sender, self._one_way_receiver = trio.open_memory_channel[
            _struct.Message
        ](ONE_WAY_QUEUE_LIMIT)

    @property
    def closed(self) -> bool:
        """True if the stream has ended or is being closed."""
        return self._closed or self._scope.cancel_called

    @property
    def idle(self) -> bool:
        """True if no call is in progress in either direction."""
        return not self._pending_calls and not self._inbound_call_count

    @property
    def silent(self) -> bool:
        """True if the peer does not reply to pings on this stream."""
        return self._unanswered_pings >= SILENT_AFTER_PINGS

    async def wait_silent(self) -> None:
        """Waits until the peer does not reply to pings on this stream."""
        while not self.silent:
            await self._became_silent.wait()

    @property
    def replies_written(self) -> bool:
        """True if the replies to all calls of the peer have been written."""
        return not self._inbound_call_count and self._stream.flushed

    def close(self) -> None:
        """Closes the stream and ends `run`."""
        self._scope.cancel()

    async def run(self) -> None:
        """Serves the stream until it ends or an invalid message arrives."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write_loop)
                    nursery.start_soon(self._one_way_loop)
                    nursery.start_soon(self._ping_loop)
                    await self._read_loop(nursery)
                    nursery.cancel_scope.cancel()
        finally:
            self._closed = True
            self._fail_pending_calls()
            self._abort_sync_calls()
            with trio.move_on_after(1) as cleanup:
                cleanup.shield = True
                await self._stream.aclose()

    def _fail_pending_calls(self) -> None:
        for pending in list(self._pending_calls.values()):
            pending.failure = "the stream ended before the reply"
            pending.on_done()

    def _abort_sync_calls(self) -> None:
        """Aborts calls of sync handlers, as no reply can reach the peer."""
        while self._sync_call_aborts:
            _, abort = self._sync_call_aborts.popitem()
            try:
                abort()
            except Exception:
                _LOG.exception(
                    "peers: aborting a call of a closed stream failed"
                )

    async def call(
        self, request: _struct.Message, timeout_ms: float
    ) -> result.Result[_struct.Message, PeerFailure]:
        """Sends a request and waits for its reply."""
        replied = trio.Event()
        queued = self._queue_call(request, replied.set)
        if isinstance(queued, result.Err):
            return queued
        call_id = queued.ok_value
        pending = self._pending_calls[call_id]
        try:
            with trio.move_on_after(max(0.0, timeout_ms) / 1000):
                await replied.wait()
        finally:
            unsent = self._remove_call(call_id)
        return _build_call_result(pending, unsent)

    def start_call(
        self, request: _struct.Message, on_result: ResultCallback
    ) -> result.Result[CancelCall, PeerFailure]:
        """Sends a request without a task that waits for the reply.

        Args:
            request: The request.
            on_result: Called once with the reply or the failure, after this
                method has returned.

        Returns:
            A function that cancels the call, after which `on_result` is not
            called. The function returns True if no byte of the request was
            sent.
        """

        def on_done() -> None:
            pending = self._pending_calls[call_id]
            unsent = self._remove_call(call_id)
            on_result(_build_call_result(pending, unsent))

        queued = self._queue_call(request, on_done)
        if isinstance(queued, result.Err):
            return queued
        call_id = queued.ok_value
        return result.Ok(lambda: self._remove_call(call_id))

    def _queue_call(
        self, request: _struct.Message, on_done: Callable[[], None]
    ) -> result.Result[int, PeerFailure]:
        if self.closed or self._stream.queued_bytes > SEND_QUEUE_LIMIT_BYTES:
            detail = "the stream is closed or its queue is full"
            return result.Err(PeerFailure(False, detail))
        call_id = self._next_call_id
        self._next_call_id += 1
        body = wire.encode(request)
        try:
            ticket = self._stream.enqueue(messages.Call(call_id, body))
        except errors.StreamClosedError as error:
            return result.Err(PeerFailure(False, str(error)))
        self._pending_calls[call_id] = _PendingCall(ticket, on_done)
        self._write_requested.set()
        self._expect_message()
        return result.Ok(call_id)

    def _remove_call(self, call_id: int) -> bool:
        """Removes a pending call.

        Returns:
            True if the call was pending and no byte of its request was sent.
        """
        pending = self._pending_calls.pop(call_id, None)
        # The request must not be sent later, when no caller waits for a reply.
        return pending is not None and self._stream.remove_queued(
            pending.ticket
        )

    def send(self, message: _struct.Message) -> bool:
        """Queues a one-way message; returns False if it is dropped."""
        if self.closed or self._stream.queued_bytes > SEND_QUEUE_LIMIT_BYTES:
            return False
        try:
            self._stream.enqueue(message)
        except errors.StreamClosedError:
            return False
        self._write_requested.set()
        return True

    def is_responsive(self) -> bool:
        """Returns whether the peer replies to pings in time.

        If nothing was received for a while on an idle stream, this starts to
        ping the peer.
        """
        if self.closed:
            return False
        now_s = trio.current_time()
        if self._expecting_message_since_s is None:
            if now_s - self._last_received_s > UNRESPONSIVE_AFTER_MS / 1000:
                self._expect_message()
            return True
        return self._compute_silence_ms(now_s) <= UNRESPONSIVE_AFTER_MS

    def received_since(self, at_s: float) -> bool:
        """Returns whether anything was received after a monotonic time in s."""
        return self._last_received_s > at_s

    async def probe(self) -> bool:
        """Pings the peer; returns whether anything is received in time."""
        if self.closed:
            return False
        self._expect_message()
        self.ping()
        with trio.move_on_after(UNRESPONSIVE_AFTER_MS / 1000):
            await self._received.wait()
            return True
        return False

    def _compute_silence_ms(self, now_s: float) -> float:
        since_s = self._last_received_s
        if self._expecting_message_since_s is not None:
            since_s = max(since_s, self._expecting_message_since_s)
        return (now_s - since_s) * 1000

    def _expect_message(self) -> None:
        if self._expecting_message_since_s is None:
            self._expecting_message_since_s = trio.current_time()
            self._ping_requested.set()

    def ping(self) -> None:
        """Sends a ping that the peer replies to."""
        self.send(messages.Ping(answer=True))

    async def _write_loop(self) -> None:
        while True:
            await self._write_requested.wait()
            self._write_requested = trio.Event()
            try:
                await self._stream.flush()
            except errors.StreamClosedError:
                self.close()
                return

    async def _ping_loop(self) -> None:
        while True:
            with trio.move_on_at(self._next_idle_ping_s()):
                await self._ping_requested.wait()
            self._ping_requested = trio.Event()
            if self._expecting_message_since_s is None:
                if self._next_idle_ping_s() > trio.current_time():
                    continue
                self._expect_message()
                self._send_counted_ping()
            await self._ping_while_expecting_message()

    def _next_idle_ping_s(self) -> float:
        one_way_age_s = self._last_received_s - self._last_one_way_s
        interval_ms = (
            ONE_WAY_PING_INTERVAL_MS
            if one_way_age_s * 1000 < ONE_WAY_PING_INTERVAL_MS
            else IDLE_PING_INTERVAL_MS
        )
        return self._last_received_s + interval_ms / 1000

    async def _ping_while_expecting_message(self) -> None:
        while self._expecting_message_since_s is not None:
            await trio.sleep(PING_INTERVAL_MS / 1000)
            now_s = trio.current_time()
            if self._compute_silence_ms(now_s) > DEAD_STREAM_TIMEOUT_MS:
                _LOG.warning(
                    "peers: closing the stream to %s: the peer sends nothing",
                    self.peer_id,
                )
                self.close()
                return
            if self.silent:
                self._became_silent.set()
            if (
                self._pending_calls
                or self._expecting_message_since_s is not None
            ):
                self._send_counted_ping()

    def _send_counted_ping(self) -> None:
        self._unanswered_pings += 1
        self.ping()

    async def _read_loop(self, nursery: trio.Nursery) -> None:
        while True:
            try:
                message = await self._stream.receive()
            except errors.StreamClosedError:
                return
            except errors.WireError as error:
                _LOG.warning(
                    "peers: closing the stream to %s: %s", self.peer_id, error
                )
                return
            self._record_receipt()
            self._handle_message(message, nursery)

    def _record_receipt(self) -> None:
        self._last_received_s = trio.current_time()
        self._unanswered_pings = 0
        if self._became_silent.is_set():
            self._became_silent = trio.Event()
        self._received.set()
        self._received = trio.Event()
        if not self._pending_calls:
            self._expecting_message_since_s = None

    def _handle_message(
        self, message: _struct.Message, nursery: trio.Nursery
    ) -> None:
        if isinstance(message, messages.Return):
            self._handle_reply(message)
            if not self._pending_calls:
                self._expecting_message_since_s = None
        elif isinstance(message, messages.Call):
            self._inbound_call_count += 1
            if not self._handle_sync_call(message):
                nursery.start_soon(self._reply_to_call, message)
        elif isinstance(message, messages.Ping):
            if message.answer:
                self.send(messages.Ping(answer=False))
        else:
            self._record_one_way()
            try:
                self._one_way_sender.send_nowait(message)
            except trio.WouldBlock:
                _LOG.warning(
                    "peers: dropped a message from %s: the queue is full",
                    self.peer_id,
                )

    def _record_one_way(self) -> None:
        earlier_s = self._last_one_way_s
        self._last_one_way_s = now_s = trio.current_time()
        if (now_s - earlier_s) * 1000 >= ONE_WAY_PING_INTERVAL_MS:
            # Shortens the wait until the next idle ping.
            self._ping_requested.set()

    def _handle_reply(self, message: messages.Return) -> None:
        pending = self._pending_calls.get(message.call_id)
        if pending is None:
            return
        try:
            pending.reply = wire.decode(message.body)
        except errors.WireError as error:
            pending.failure = str(error)
        pending.on_done()

    def _handle_sync_call(self, call: messages.Call) -> bool:
        """Handles a call without a task if its type has a sync handler.

        Returns:
            False if the call still has to be handled.
        """
        if self._inbound_call_count > MAX_INBOUND_CALLS:
            return False
        try:
            request = wire.decode(call.body)
        except errors.WireError:
            return False
        handler = self._sync_handlers.get(type(request))
        if handler is None:
            return False
        call_id = call.call_id
        replied = False

        def reply(message: _struct.Message) -> None:
            nonlocal replied
            if replied:
                return
            replied = True
            self._sync_call_aborts.pop(call_id, None)
            self._inbound_call_count -= 1
            self.send(messages.Return(call_id, wire.encode(message)))

        try:
            abort = handler(self.peer_id, request, reply)
        except Exception:  # A bug in one handler must not end the stream.
            _LOG.exception(
                "peers: handler failed for a message from %s", self.peer_id
            )
            reply(
                _build_failure(
                    codes.Code.INTERNAL_ERROR, "the request handler failed"
                )
            )
        else:
            if not replied:
                self._sync_call_aborts[call_id] = abort
        return True

    async def _reply_to_call(self, call: messages.Call) -> None:
        try:
            reply = await self._handle_call(call)
        finally:
            self._inbound_call_count -= 1
        self.send(messages.Return(call.call_id, wire.encode(reply)))

    async def _handle_call(self, call: messages.Call) -> _struct.Message:
        if self._inbound_call_count > MAX_INBOUND_CALLS:
            return _build_failure(
                codes.Code.OVERLOADED, "too many calls in progress"
            )
        try:
            request = wire.decode(call.body)
        except errors.WireError as error:
            return _build_failure(codes.Code.PEER_MALFORMED, str(error))
        handler = self._handlers.get(type(request))
        if handler is None:
            name = type(request).__name__
            return _build_failure(
                codes.Code.PEER_UNSUPPORTED, f"no handler for {name}"
            )
        try:
            reply = await handler(self.peer_id, request)
        except Exception:  # A bug in one handler must not end the stream.
            _LOG.exception(
                "peers: handler failed for a message from %s", self.peer_id
            )
            return _build_failure(
                codes.Code.INTERNAL_ERROR, "the request handler failed"
            )
        if reply is None:
            return _build_failure(
                codes.Code.PEER_UNSUPPORTED, "the message is not a request"
            )
        return reply

    async def _one_way_loop(self) -> None:
        async for message in self._one_way_receiver:
            handler = self._handlers.get(type(message))
            if handler is None:
                continue
            try:
                await handler(self.peer_id, message)
            except Exception:  # A bug in one handler must not end the stream.
                _LOG.exception(
                    "peers: handler failed for a message from %s", self.peer_id
                )


def _build_call_result(
    pending: _PendingCall, unsent: bool
) -> result.Result[_struct.Message, PeerFailure]:
    if pending.reply is not None:
        return result.Ok(pending.reply)
    detail = pending.failure or "no reply in time"
    return result.Err(PeerFailure(not unsent, detail))


def _build_failure(code: codes.Code, detail: str) -> messages.Failure:
    return messages.Failure(code=int(code), detail=detail)
