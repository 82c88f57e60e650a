"""One authenticated peer stream."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import logging

import result
import trio

from geraniumstair import _struct
from geraniumstair import errors
from geraniumstair import wire
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from geraniumstair.peers import _transport

_LOG = logging.getLogger(__name__)

UNRESPONSIVE_MS = 250.0
PING_INTERVAL_MS = 100.0
# A peer that does not answer pings for so long is cut off or stopped; a new
# stream is the only way to find out which.
DEAD_STREAM_MS = 5000.0
IDLE_PROBE_MS = 30000.0
QUEUE_LIMIT_BYTES = 4 * 1024 * 1024
ONE_WAY_BACKLOG = 1024
INBOUND_CALL_LIMIT = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class PeerFailure:
    """Why a call got no reply.

    Attributes:
        sent: False only if no byte of the request left this node.
        detail: One sentence for logs.
    """

    sent: bool
    detail: str


Answered = Callable[[result.Result[_struct.Message, PeerFailure]], None]
Withdraw = Callable[[], bool]


@dataclasses.dataclass(slots=True, eq=False)
class _PendingCall:
    ticket: int
    done: Callable[[], None]
    reply: _struct.Message | None = None
    failure: str = ""


class Connection:
    """Calls and one-way messages over one peer stream.

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
        handlers: Mapping[type, _transport.Handler],
        direct_handlers: Mapping[type, _transport.DirectHandler],
    ) -> None:
        self.peer_id = peer_id
        self.incarnation = incarnation
        self.dialed = dialed
        self._stream = stream
        self._handlers = handlers
        self._direct_handlers = direct_handlers
        # Ends the direct calls of the peer that are not answered yet.
        self._direct: dict[int, Callable[[], None]] = {}
        self._pending: dict[int, _PendingCall] = {}
        self._next_call_id = 0
        self._inbound_calls = 0
        self._closed = False
        self._write_wanted = trio.Event()
        self._answer_wanted = trio.Event()
        self._received = trio.Event()
        self._last_received_s = trio.current_time()
        self._expecting_since_s: float | None = None
        self._scope = trio.CancelScope()
        self._one_way_in, self._one_way_out = trio.open_memory_channel[
            _struct.Message
        ](ONE_WAY_BACKLOG)

    @property
    def closed(self) -> bool:
        """True once the stream has ended or is being closed."""
        return self._closed or self._scope.cancel_called

    @property
    def idle(self) -> bool:
        """True if no call is in progress in either direction."""
        return not self._pending and not self._inbound_calls

    @property
    def answered(self) -> bool:
        """True if no reply to a call of the peer is outstanding."""
        return not self._inbound_calls and self._stream.flushed

    def close(self) -> None:
        """Ends `run`."""
        self._scope.cancel()

    async def run(self) -> None:
        """Serves the stream until it ends or the peer sends garbage."""
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
            self._fail_pending()
            self._end_direct()
            with trio.move_on_after(1) as cleanup:
                cleanup.shield = True
                await self._stream.aclose()

    def _fail_pending(self) -> None:
        for pending in list(self._pending.values()):
            pending.failure = "the stream broke"
            pending.done()

    def _end_direct(self) -> None:
        """Ends requests of a peer that cannot get their replies any more."""
        while self._direct:
            _, end = self._direct.popitem()
            try:
                end()
            except Exception:
                _LOG.exception("peers: ending a request failed")

    async def call(
        self, request: _struct.Message, timeout_ms: float
    ) -> result.Result[_struct.Message, PeerFailure]:
        """Sends a request and waits for its reply."""
        replied = trio.Event()
        queued = self._queue_call(request, replied.set)
        if isinstance(queued, result.Err):
            return queued
        call_id = queued.ok_value
        pending = self._pending[call_id]
        try:
            with trio.move_on_after(max(0.0, timeout_ms) / 1000):
                await replied.wait()
        finally:
            withdrawn = self._forget_call(call_id)
        return _outcome(pending, withdrawn)

    def start_call(
        self, request: _struct.Message, answered: Answered
    ) -> result.Result[Withdraw, PeerFailure]:
        """Sends a request without a task that waits for the reply.

        Args:
            request: The request.
            answered: Called once with the reply or the failure, after this
                has returned.

        Returns:
            A function that gives the call up, after which `answered` is not
            called; it returns whether no byte of the request was sent.
        """

        def done() -> None:
            pending = self._pending[call_id]
            withdrawn = self._forget_call(call_id)
            answered(_outcome(pending, withdrawn))

        queued = self._queue_call(request, done)
        if isinstance(queued, result.Err):
            return queued
        call_id = queued.ok_value
        return result.Ok(lambda: self._forget_call(call_id))

    def _queue_call(
        self, request: _struct.Message, done: Callable[[], None]
    ) -> result.Result[int, PeerFailure]:
        if self.closed or self._stream.waiting_bytes > QUEUE_LIMIT_BYTES:
            detail = "the stream is closed or its queue is full"
            return result.Err(PeerFailure(False, detail))
        call_id = self._next_call_id
        self._next_call_id += 1
        body = wire.encode(request)
        try:
            ticket = self._stream.queue(messages.Call(call_id, body))
        except errors.StreamClosed as error:
            return result.Err(PeerFailure(False, str(error)))
        self._pending[call_id] = _PendingCall(ticket, done)
        self._write_wanted.set()
        self._expect_answer()
        return result.Ok(call_id)

    def _forget_call(self, call_id: int) -> bool:
        """Ends a call; True if no byte of the request was sent."""
        pending = self._pending.pop(call_id, None)
        # A request that nobody waits for must not leave later.
        return pending is not None and self._stream.withdraw(pending.ticket)

    def send(self, message: _struct.Message) -> bool:
        """Queues a one-way message; False if it is dropped."""
        if self.closed or self._stream.waiting_bytes > QUEUE_LIMIT_BYTES:
            return False
        try:
            self._stream.queue(message)
        except errors.StreamClosed:
            return False
        self._write_wanted.set()
        return True

    def responsive(self) -> bool:
        """Tells whether the peer answers; starts a probe of an idle stream."""
        if self.closed:
            return False
        now_s = trio.current_time()
        if self._expecting_since_s is None:
            if now_s - self._last_received_s > UNRESPONSIVE_MS / 1000:
                self._expect_answer()
            return True
        return self._silent_ms(now_s) <= UNRESPONSIVE_MS

    def heard_since(self, at_s: float) -> bool:
        """Tells whether anything was received after a monotonic time in s."""
        return self._last_received_s > at_s

    async def probe(self) -> bool:
        """Pings the peer; True if it sends anything within the limit."""
        if self.closed:
            return False
        self._expect_answer()
        self.ping()
        with trio.move_on_after(UNRESPONSIVE_MS / 1000):
            await self._received.wait()
            return True
        return False

    def _silent_ms(self, now_s: float) -> float:
        since_s = self._last_received_s
        if self._expecting_since_s is not None:
            since_s = max(since_s, self._expecting_since_s)
        return (now_s - since_s) * 1000

    def _expect_answer(self) -> None:
        if self._expecting_since_s is None:
            self._expecting_since_s = trio.current_time()
            self._answer_wanted.set()

    def ping(self) -> None:
        """Asks the peer for a sign of life."""
        self.send(messages.Ping(answer=True))

    async def _write_loop(self) -> None:
        while True:
            await self._write_wanted.wait()
            self._write_wanted = trio.Event()
            try:
                await self._stream.flush()
            except errors.StreamClosed:
                self.close()
                return

    async def _ping_loop(self) -> None:
        while True:
            with trio.move_on_after(IDLE_PROBE_MS / 1000):
                await self._answer_wanted.wait()
            self._expect_answer()
            self._answer_wanted = trio.Event()
            await self._ping_while_expecting()

    async def _ping_while_expecting(self) -> None:
        while self._expecting_since_s is not None:
            await trio.sleep(PING_INTERVAL_MS / 1000)
            now_s = trio.current_time()
            if self._silent_ms(now_s) > DEAD_STREAM_MS:
                _LOG.warning("peers: no answer from %s", self.peer_id)
                self.close()
                return
            if self._pending or self._expecting_since_s is not None:
                self.ping()

    async def _read_loop(self, nursery: trio.Nursery) -> None:
        while True:
            try:
                message = await self._stream.receive()
            except errors.StreamClosed:
                return
            except errors.WireError as error:
                _LOG.warning(
                    "peers: closing the stream of %s: %s", self.peer_id, error
                )
                return
            self._note_received()
            self._take(message, nursery)

    def _note_received(self) -> None:
        self._last_received_s = trio.current_time()
        self._received.set()
        self._received = trio.Event()
        if not self._pending:
            self._expecting_since_s = None

    def _take(self, message: _struct.Message, nursery: trio.Nursery) -> None:
        if isinstance(message, messages.Return):
            self._take_reply(message)
            if not self._pending:
                self._expecting_since_s = None
        elif isinstance(message, messages.Call):
            self._inbound_calls += 1
            if not self._take_direct(message):
                nursery.start_soon(self._answer, message)
        elif isinstance(message, messages.Ping):
            if message.answer:
                self.send(messages.Ping(answer=False))
        else:
            try:
                self._one_way_in.send_nowait(message)
            except trio.WouldBlock:
                _LOG.warning(
                    "peers: dropped a message of %s: too many wait",
                    self.peer_id,
                )

    def _take_reply(self, message: messages.Return) -> None:
        pending = self._pending.get(message.call_id)
        if pending is None:
            return
        try:
            pending.reply = wire.decode(message.body)
        except errors.WireError as error:
            pending.failure = str(error)
        pending.done()

    def _take_direct(self, call: messages.Call) -> bool:
        """Handles a call at once if its message has a direct handler."""
        if self._inbound_calls > INBOUND_CALL_LIMIT:
            return False
        try:
            request = wire.decode(call.body)
        except errors.WireError:
            return False
        handler = self._direct_handlers.get(type(request))
        if handler is None:
            return False
        call_id = call.call_id
        answered = False

        def reply(message: _struct.Message) -> None:
            nonlocal answered
            if answered:
                return
            answered = True
            self._direct.pop(call_id, None)
            self._inbound_calls -= 1
            self.send(messages.Return(call_id, wire.encode(message)))

        try:
            end = handler(self.peer_id, request, reply)
        except Exception:  # A fault of one handler must not end the stream.
            _LOG.exception("peers: handler failed for %s", self.peer_id)
            reply(_failure(codes.Code.INTERNAL_ERROR, "handler failed"))
        else:
            if not answered:
                self._direct[call_id] = end
        return True

    async def _answer(self, call: messages.Call) -> None:
        try:
            reply = await self._handle_call(call)
        finally:
            self._inbound_calls -= 1
        self.send(messages.Return(call.call_id, wire.encode(reply)))

    async def _handle_call(self, call: messages.Call) -> _struct.Message:
        if self._inbound_calls > INBOUND_CALL_LIMIT:
            return _failure(codes.Code.OVERLOADED, "too many calls")
        try:
            request = wire.decode(call.body)
        except errors.WireError as error:
            return _failure(codes.Code.PEER_MALFORMED, str(error))
        handler = self._handlers.get(type(request))
        if handler is None:
            name = type(request).__name__
            return _failure(codes.Code.PEER_UNSUPPORTED, f"no handler: {name}")
        try:
            reply = await handler(self.peer_id, request)
        except Exception:  # A fault of one handler must not end the stream.
            _LOG.exception("peers: handler failed for %s", self.peer_id)
            return _failure(codes.Code.INTERNAL_ERROR, "handler failed")
        if reply is None:
            return _failure(codes.Code.PEER_UNSUPPORTED, "not a request")
        return reply

    async def _one_way_loop(self) -> None:
        async for message in self._one_way_out:
            handler = self._handlers.get(type(message))
            if handler is None:
                continue
            try:
                await handler(self.peer_id, message)
            except Exception:  # As for calls.
                _LOG.exception("peers: handler failed for %s", self.peer_id)


def _outcome(
    pending: _PendingCall, withdrawn: bool
) -> result.Result[_struct.Message, PeerFailure]:
    if pending.reply is not None:
        return result.Ok(pending.reply)
    detail = pending.failure or "no reply in time"
    return result.Err(PeerFailure(not withdrawn, detail))


def _failure(code: codes.Code, detail: str) -> messages.Failure:
    return messages.Failure(code=int(code), detail=detail)
