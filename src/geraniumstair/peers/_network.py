"""All peer streams of a node."""

from collections.abc import Mapping
import logging
import random
from typing import Any

import result
import trio

from geraniumstair import _struct
from geraniumstair import errors
from geraniumstair import wire
from geraniumstair.peers import _connection
from geraniumstair.peers import _transport

_LOG = logging.getLogger(__name__)

# The node with the smaller id dials. The other one dials only after this
# time, because the first may not know it yet.
SECOND_DIALER_DELAY_S = 1.0
DIAL_TIMEOUT_S = 3.0
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 5.0
RETIRE_AFTER_S = 5.0
ANSWERED_CHECK_S = 0.01
HANDSHAKE_LIMIT = 256


class _Backoff:
    """Delays that double up to a limit, with jitter."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._delay_s = BACKOFF_MIN_S

    def reset(self) -> None:
        self._delay_s = BACKOFF_MIN_S

    async def sleep(self) -> None:
        delay_s = self._delay_s * self._rng.uniform(0.5, 1.0)
        self._delay_s = min(BACKOFF_MAX_S, self._delay_s * 2)
        await trio.sleep(delay_s)


class _Peer:
    """The streams to one node; usually one."""

    def __init__(self) -> None:
        self.connections: list[_connection.Connection] = []
        self.disconnected = trio.Event()

    def preferred(self, own_id: str) -> _connection.Connection | None:
        """Returns the stream that both ends choose among several.

        Streams dialed by the smaller node id come first, then newer ones.
        """
        usable = [c for c in self.connections if not c.closed]
        if not usable:
            return None
        wanted = own_id < usable[0].peer_id
        matching = [c for c in usable if c.dialed == wanted]
        return (matching or usable)[-1]


class PeerNetwork:
    """Listens for peers, dials peers, and carries messages between nodes.

    Args:
        identity: This node's identity and the shared key.
        listener_address: IP address of the peer listener.
        listener_port: Its TCP port; 0 lets the system choose one.
        transport: Byte streams; TCP by default.
        rng: Source of the jitter of reconnects.
    """

    def __init__(
        self,
        identity: wire.Identity,
        listener_address: str,
        listener_port: int,
        transport: _transport.Transport | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._identity = identity
        self._listener = _transport.PeerAddress(listener_address, listener_port)
        self._transport = transport or _transport.TcpTransport()
        self._rng = rng or random.Random()
        self._handlers: dict[type, _transport.Handler] = {}
        self._direct_handlers: dict[type, _transport.DirectHandler] = {}
        self._peers: dict[str, _Peer] = {}
        self._addresses: dict[str, _transport.PeerAddress] = {}
        self._dialers: dict[str, trio.CancelScope] = {}
        self._seeds: set[_transport.PeerAddress] = set()
        self._nursery: trio.Nursery | None = None
        self._handshakes = 0

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listens and maintains the streams; reports the bound port."""
        listeners = await self._transport.listen(self._listener)
        port = self._transport.bound_port(listeners[0])
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for seed in sorted(self._seeds):
                    nursery.start_soon(self._dial_seed, seed)
                self._start_dialers()
                task_status.started(port)
                await trio.serve_listeners(self._accept, list(listeners))
        finally:
            self._nursery = None

    def register(self, message_type: type, handler: _transport.Handler) -> None:
        """Sets the handler of a message type.

        One-way messages of a peer are handled one after another, so their
        handlers must not wait for long.
        """
        self._handlers[message_type] = handler

    def register_direct(
        self, message_type: type, handler: _transport.DirectHandler
    ) -> None:
        """Sets the handler of a request that is handled without a task.

        A task for each request would cost more processor time than handling
        it. The handler must not block.
        """
        self._direct_handlers[message_type] = handler

    def set_peers(
        self, addresses: Mapping[str, _transport.PeerAddress]
    ) -> None:
        """Replaces the nodes to which streams are maintained.

        Streams to other nodes stay open until one end closes them.
        """
        wanted = dict(addresses)
        wanted.pop(self._identity.node_id, None)
        for node_id in list(self._dialers):
            if wanted.get(node_id) != self._addresses.get(node_id):
                self._dialers.pop(node_id).cancel()
        self._addresses = wanted
        for node_id, peer in list(self._peers.items()):
            if node_id not in wanted and not peer.connections:
                del self._peers[node_id]
        self._start_dialers()

    def add_seed(self, address: _transport.PeerAddress) -> None:
        """Maintains a stream to an address whose node id is not known."""
        if address in self._seeds:
            return
        self._seeds.add(address)
        if self._nursery is not None:
            self._nursery.start_soon(self._dial_seed, address)

    def connected(self) -> frozenset[str]:
        """Returns the ids of the nodes that a stream is open to."""
        return frozenset(
            node_id
            for node_id, peer in self._peers.items()
            if any(not c.closed for c in peer.connections)
        )

    def responsive(self, node_id: str) -> bool:
        """Tells whether a stream is up and the peer answers on it.

        The first question about an idle stream starts a ping, so only later
        ones can find the peer unresponsive.
        """
        connection = self._stream_to(node_id)
        return connection is not None and connection.responsive()

    def ping(self, node_id: str) -> None:
        """Asks a peer for a sign of life; see `heard_since`."""
        connection = self._stream_to(node_id)
        if connection is not None:
            connection.ping()

    def heard_since(self, node_id: str, at_s: float) -> bool:
        """Tells whether a peer sent anything after a monotonic time in s."""
        connection = self._stream_to(node_id)
        return connection is not None and connection.heard_since(at_s)

    async def probe(self, node_id: str) -> bool:
        """Pings a peer; False without an answer within 250 ms."""
        connection = self._stream_to(node_id)
        return connection is not None and await connection.probe()

    async def call(
        self, node_id: str, request: _struct.Message, timeout_ms: float
    ) -> result.Result[Any, _connection.PeerFailure]:
        """Sends a request to a node and waits for its reply.

        Returns:
            The reply, which is a `Failure` message if the peer could not
            handle the request, or why there is none.
        """
        connection = self._stream_to(node_id)
        if connection is None:
            detail = "no stream to the node"
            return result.Err(_connection.PeerFailure(False, detail))
        return await connection.call(request, timeout_ms)

    def start_call(
        self,
        node_id: str,
        request: _struct.Message,
        answered: _connection.Answered,
    ) -> result.Result[_connection.Withdraw, _connection.PeerFailure]:
        """Sends a request without a task that waits for the reply.

        Args:
            node_id: The peer.
            request: The request.
            answered: Called once with the reply or the failure, after this
                has returned. There is no timeout.

        Returns:
            A function that gives the call up, after which `answered` is not
            called; it returns whether no byte of the request was sent. Or
            the failure, if there is no usable stream.
        """
        connection = self._stream_to(node_id)
        if connection is None:
            detail = "no stream to the node"
            return result.Err(_connection.PeerFailure(False, detail))
        return connection.start_call(request, answered)

    def send(self, node_id: str, message: _struct.Message) -> bool:
        """Sends a one-way message.

        Returns:
            False if there is no stream or its queue is full.
        """
        connection = self._stream_to(node_id)
        return connection is not None and connection.send(message)

    async def wait_answered(self) -> None:
        """Returns when no reply to a peer's call is outstanding."""
        while not all(
            c.answered
            for peer in self._peers.values()
            for c in peer.connections
            if not c.closed
        ):
            await trio.sleep(ANSWERED_CHECK_S)

    def _stream_to(self, node_id: str) -> _connection.Connection | None:
        peer = self._peers.get(node_id)
        if peer is None:
            return None
        return peer.preferred(self._identity.node_id)

    def _start_dialers(self) -> None:
        if self._nursery is None:
            return
        for node_id, address in self._addresses.items():
            if node_id not in self._dialers:
                scope = trio.CancelScope()
                self._dialers[node_id] = scope
                self._nursery.start_soon(
                    self._dial_peer, node_id, address, scope
                )

    async def _dial_peer(
        self,
        node_id: str,
        address: _transport.PeerAddress,
        scope: trio.CancelScope,
    ) -> None:
        backoff = _Backoff(self._rng)
        with scope:
            while True:
                peer = self._peer(node_id)
                if peer.connections:
                    await peer.disconnected.wait()
                    backoff.reset()
                    continue
                if self._identity.node_id > node_id:
                    await trio.sleep(SECOND_DIALER_DELAY_S)
                    if peer.connections:
                        continue
                await self._dial(address, expected=node_id)
                await backoff.sleep()

    async def _dial_seed(self, address: _transport.PeerAddress) -> None:
        backoff = _Backoff(self._rng)
        while True:
            node_id = await self._dial(address, expected=None)
            if node_id == self._identity.node_id:
                return
            if node_id is not None:
                peer = self._peer(node_id)
                if peer.connections:
                    await peer.disconnected.wait()
                backoff.reset()
            await backoff.sleep()

    async def _dial(
        self, address: _transport.PeerAddress, expected: str | None
    ) -> str | None:
        """Opens a stream and starts to serve it.

        Returns:
            The node id of the peer, or None if no stream was opened.
        """
        stream = None
        try:
            with trio.fail_after(DIAL_TIMEOUT_S):
                stream = await self._transport.connect(address)
                connected = await wire.connect_handshake(stream, self._identity)
        except (OSError, trio.TooSlowError, errors.GeraniumstairError) as error:
            # A wrong key does not mend itself, unlike a peer that is down.
            wrong_key = isinstance(error, errors.AuthenticationError)
            level = logging.WARNING if wrong_key else logging.DEBUG
            _LOG.log(
                level,
                "peers: cannot reach %s port %d: %s",
                address.address,
                address.port,
                error,
            )
            if stream is not None:
                await trio.aclose_forcefully(stream)
            return None
        except BaseException:
            if stream is not None:
                await trio.aclose_forcefully(stream)
            raise
        welcome = connected.welcome
        unexpected = expected is not None and welcome.node_id != expected
        own = welcome.node_id == self._identity.node_id
        nursery = self._nursery
        if unexpected or own or nursery is None:
            await connected.stream.aclose()
            return welcome.node_id
        connection = self._add(
            connected.stream, welcome.node_id, welcome.incarnation, dialed=True
        )
        if connection is None:
            await connected.stream.aclose()
        else:
            nursery.start_soon(self._serve, connection)
        return welcome.node_id

    async def _accept(self, stream: trio.abc.Stream) -> None:
        # serve_listeners ends the listener on an unhandled exception.
        async with stream:
            if self._handshakes >= HANDSHAKE_LIMIT:
                return
            self._handshakes += 1
            try:
                accepted = await wire.accept_handshake(stream, self._identity)
            except errors.GeraniumstairError as error:
                _LOG.warning("peers: refused a stream: %s", error)
                return
            finally:
                self._handshakes -= 1
            hello = accepted.hello
            if hello.node_id == self._identity.node_id:
                return
            connection = self._add(
                accepted.stream, hello.node_id, hello.incarnation, dialed=False
            )
            if connection is not None:
                await self._serve(connection)

    def _peer(self, node_id: str) -> _Peer:
        return self._peers.setdefault(node_id, _Peer())

    def _add(
        self,
        stream: wire.MessageStream,
        node_id: str,
        incarnation: int,
        dialed: bool,
    ) -> _connection.Connection | None:
        peer = self._peer(node_id)
        for other in list(peer.connections):
            if other.incarnation > incarnation:
                return None
            if other.incarnation < incarnation:
                other.close()
                peer.connections.remove(other)
        connection = _connection.Connection(
            stream,
            node_id,
            incarnation,
            dialed,
            self._handlers,
            self._direct_handlers,
        )
        peer.connections.append(connection)
        return connection

    async def _serve(self, connection: _connection.Connection) -> None:
        peer = self._peer(connection.peer_id)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._retire_loop, peer, connection)
            try:
                await connection.run()
            finally:
                if connection in peer.connections:
                    peer.connections.remove(connection)
                if not peer.connections:
                    peer.disconnected.set()
                    peer.disconnected = trio.Event()
                nursery.cancel_scope.cancel()

    async def _retire_loop(
        self, peer: _Peer, connection: _connection.Connection
    ) -> None:
        """Closes a duplicate that this node dialed, once it is idle.

        Only the dialing end closes it, and not at once, so that the peer has
        time to choose the other stream and no call is cut off.
        """
        while connection.dialed:
            await trio.sleep(RETIRE_AFTER_S)
            preferred = peer.preferred(self._identity.node_id)
            if preferred is not connection and connection.idle:
                connection.close()
                return
