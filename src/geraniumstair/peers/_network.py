"""Connections of a node to all its peers."""

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

# Of two nodes, the one with the smaller id dials. The other one dials only
# after this delay, because the first may not know the address of the other yet.
SECOND_DIALER_DELAY_S = 1.0
DIAL_TIMEOUT_S = 3.0
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 5.0
DUPLICATE_CLOSE_DELAY_S = 5.0
# Of two nodes whose stream is silent, the one with the greater id dials only
# after this delay.
SECOND_REPLACE_DELAY_S = 0.3
# A peer that replies on a new stream has this time to reply on the silent one
# as well, before the silent one is closed.
SILENT_CLOSE_DELAY_S = 0.25
REPLIES_CHECK_INTERVAL_S = 0.01
MAX_CONCURRENT_HANDSHAKES = 256


class _Backoff:
    """Exponential backoff with jitter."""

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
    """The connections to one node; usually there is only one."""

    def __init__(self) -> None:
        self.connections: list[_connection.Connection] = []
        self.disconnected = trio.Event()

    def choose_connection(self, own_id: str) -> _connection.Connection | None:
        """Returns the connection to use, or None.

        Both ends make the same choice: connections dialed by the node with the
        smaller id come first, and the newest of them is chosen. Silent ones are
        used only if all are silent.
        """
        usable = [c for c in self.connections if not c.closed]
        usable = [c for c in usable if not c.silent] or usable
        if not usable:
            return None
        should_dial = own_id < usable[0].peer_id
        matching = [c for c in usable if c.dialed == should_dial]
        return (matching or usable)[-1]

    def has_responsive_connection(self) -> bool:
        """Returns whether the peer answers on one of the connections."""
        return any(not c.closed and not c.silent for c in self.connections)


class PeerNetwork:
    """Accepts and dials peers, and exchanges messages with them.

    Args:
        identity: This node's identity and the shared key.
        listener_address: IP address of the peer listener.
        listener_port: Its TCP port; 0 lets the system choose one.
        transport: Opens and accepts byte streams; TCP by default.
        rng: Random numbers for the jitter of the reconnect backoff.
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
        self._listener_address = _transport.PeerAddress(
            listener_address, listener_port
        )
        self._transport = transport or _transport.TcpTransport()
        self._rng = rng or random.Random()
        self._handlers: dict[type, _transport.AsyncHandler] = {}
        self._sync_handlers: dict[type, _transport.SyncHandler] = {}
        self._peers: dict[str, _Peer] = {}
        self._addresses: dict[str, _transport.PeerAddress] = {}
        self._dialers: dict[str, trio.CancelScope] = {}
        self._seeds: set[_transport.PeerAddress] = set()
        self._nursery: trio.Nursery | None = None
        self._handshakes_in_progress = 0

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listens and maintains the streams until cancelled.

        `task_status` receives the bound port once the listener is open.
        """
        listeners = await self._transport.listen(self._listener_address)
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

    def register_handler(
        self, message_type: type, handler: _transport.AsyncHandler
    ) -> None:
        """Sets the handler of a message type.

        One-way messages from a peer are handled one after another, so their
        handlers must not block for long.
        """
        self._handlers[message_type] = handler

    def register_sync_handler(
        self, message_type: type, handler: _transport.SyncHandler
    ) -> None:
        """Sets the handler of a request that is handled without a task.

        Starting a task for each request would take more CPU time than handling
        the request. The handler must not block.
        """
        self._sync_handlers[message_type] = handler

    def set_peers(
        self, addresses: Mapping[str, _transport.PeerAddress]
    ) -> None:
        """Replaces the set of nodes to which streams are maintained.

        Streams to other nodes stay open until one end closes them.
        """
        new_addresses = dict(addresses)
        new_addresses.pop(self._identity.node_id, None)
        for node_id in list(self._dialers):
            if new_addresses.get(node_id) != self._addresses.get(node_id):
                self._dialers.pop(node_id).cancel()
        self._addresses = new_addresses
        for node_id, peer in list(self._peers.items()):
            if node_id not in new_addresses and not peer.connections:
                del self._peers[node_id]
        self._start_dialers()

    def add_seed(self, address: _transport.PeerAddress) -> None:
        """Maintains a stream to an address whose node id is not known."""
        if address in self._seeds:
            return
        self._seeds.add(address)
        if self._nursery is not None:
            self._nursery.start_soon(self._dial_seed, address)

    def connected_nodes(self) -> frozenset[str]:
        """Returns the ids of the nodes with an open stream."""
        return frozenset(
            node_id
            for node_id, peer in self._peers.items()
            if any(not c.closed for c in peer.connections)
        )

    def is_responsive(self, node_id: str) -> bool:
        """Returns whether a stream is open and the peer replies to pings.

        On an idle stream the first call returns True and starts to ping the
        peer, so that only later calls can return False.
        """
        connection = self._connection_to(node_id)
        return connection is not None and connection.is_responsive()

    def ping(self, node_id: str) -> None:
        """Pings a peer; `received_since` shows whether it replies."""
        connection = self._connection_to(node_id)
        if connection is not None:
            connection.ping()

    def received_since(self, node_id: str, at_s: float) -> bool:
        """Returns whether a peer sent anything after a monotonic time in s."""
        connection = self._connection_to(node_id)
        return connection is not None and connection.received_since(at_s)

    async def probe(self, node_id: str) -> bool:
        """Pings a peer; returns whether it replies within 250 ms."""
        connection = self._connection_to(node_id)
        return connection is not None and await connection.probe()

    async def call(
        self, node_id: str, request: _struct.Message, timeout_ms: float
    ) -> result.Result[Any, _connection.PeerFailure]:
        """Sends a request to a node and waits for its reply.

        Returns:
            The reply, which is a `Failure` message if the peer could not
            handle the request, or the reason why there is no reply.
        """
        connection = self._connection_to(node_id)
        if connection is None:
            detail = "no stream to the node"
            return result.Err(_connection.PeerFailure(False, detail))
        return await connection.call(request, timeout_ms)

    def start_call(
        self,
        node_id: str,
        request: _struct.Message,
        on_result: _connection.ResultCallback,
    ) -> result.Result[_connection.CancelCall, _connection.PeerFailure]:
        """Sends a request without a task that waits for the reply.

        Args:
            node_id: The peer.
            request: The request.
            on_result: Called once with the reply or the failure, after this
                method has returned. There is no timeout.

        Returns:
            A function that cancels the call, after which `on_result` is not
            called. The function returns True if no byte of the request was
            sent. If there is no usable stream, the failure is returned
            instead.
        """
        connection = self._connection_to(node_id)
        if connection is None:
            detail = "no stream to the node"
            return result.Err(_connection.PeerFailure(False, detail))
        return connection.start_call(request, on_result)

    def send(self, node_id: str, message: _struct.Message) -> bool:
        """Sends a one-way message.

        Returns:
            False if there is no stream or its queue is full.
        """
        connection = self._connection_to(node_id)
        return connection is not None and connection.send(message)

    async def wait_replies_written(self) -> None:
        """Waits until the replies to all calls of peers have been written."""
        while not all(
            c.replies_written
            for peer in self._peers.values()
            for c in peer.connections
            if not c.closed
        ):
            await trio.sleep(REPLIES_CHECK_INTERVAL_S)

    def _connection_to(self, node_id: str) -> _connection.Connection | None:
        peer = self._peers.get(node_id)
        if peer is None:
            return None
        return peer.choose_connection(self._identity.node_id)

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
                peer = self._get_or_add_peer(node_id)
                if peer.connections:
                    await peer.disconnected.wait()
                    backoff.reset()
                    continue
                if self._identity.node_id > node_id:
                    await trio.sleep(SECOND_DIALER_DELAY_S)
                    if peer.connections:
                        continue
                await self._dial(address, expected_node_id=node_id)
                await backoff.sleep()

    async def _dial_seed(self, address: _transport.PeerAddress) -> None:
        backoff = _Backoff(self._rng)
        while True:
            node_id = await self._dial(address, expected_node_id=None)
            if node_id == self._identity.node_id:
                return
            if node_id is not None:
                peer = self._get_or_add_peer(node_id)
                if peer.connections:
                    await peer.disconnected.wait()
                backoff.reset()
            await backoff.sleep()

    async def _dial(
        self, address: _transport.PeerAddress, expected_node_id: str | None
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
            # A wrong key does not resolve itself, unlike a peer that is down.
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
        unexpected = (
            expected_node_id is not None and welcome.node_id != expected_node_id
        )
        is_own = welcome.node_id == self._identity.node_id
        nursery = self._nursery
        if unexpected or is_own or nursery is None:
            await connected.stream.aclose()
            return welcome.node_id
        connection = self._add_connection(
            connected.stream, welcome.node_id, welcome.incarnation, dialed=True
        )
        if connection is None:
            await connected.stream.aclose()
        else:
            nursery.start_soon(self._serve, connection)
        return welcome.node_id

    async def _accept(self, stream: trio.abc.Stream) -> None:
        # An unhandled exception would end `trio.serve_listeners`.
        async with stream:
            if self._handshakes_in_progress >= MAX_CONCURRENT_HANDSHAKES:
                return
            self._handshakes_in_progress += 1
            try:
                accepted = await wire.accept_handshake(stream, self._identity)
            except errors.GeraniumstairError as error:
                _LOG.warning("peers: refused a stream: %s", error)
                return
            finally:
                self._handshakes_in_progress -= 1
            hello = accepted.hello
            if hello.node_id == self._identity.node_id:
                return
            connection = self._add_connection(
                accepted.stream, hello.node_id, hello.incarnation, dialed=False
            )
            if connection is not None:
                await self._serve(connection)

    def _get_or_add_peer(self, node_id: str) -> _Peer:
        return self._peers.setdefault(node_id, _Peer())

    def _add_connection(
        self,
        stream: wire.MessageStream,
        node_id: str,
        incarnation: int,
        dialed: bool,
    ) -> _connection.Connection | None:
        """Adds a connection; returns None if the peer has restarted since."""
        peer = self._get_or_add_peer(node_id)
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
            self._sync_handlers,
        )
        peer.connections.append(connection)
        return connection

    async def _serve(self, connection: _connection.Connection) -> None:
        peer = self._get_or_add_peer(connection.peer_id)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._close_duplicate_loop, peer, connection)
            nursery.start_soon(self._replace_silent_loop, peer, connection)
            try:
                await connection.run()
            finally:
                if connection in peer.connections:
                    peer.connections.remove(connection)
                if not peer.connections:
                    peer.disconnected.set()
                    peer.disconnected = trio.Event()
                nursery.cancel_scope.cancel()

    async def _replace_silent_loop(
        self, peer: _Peer, connection: _connection.Connection
    ) -> None:
        """Dials a peer whose stream is silent, as a stream may fail alone.

        The silent stream is closed only when the peer has replied on another
        one, because a peer that is paused replies on neither.
        """
        peer_id = connection.peer_id
        backoff = _Backoff(self._rng)
        while True:
            await connection.wait_silent()
            if peer.has_responsive_connection():
                await trio.sleep(SILENT_CLOSE_DELAY_S)
                if connection.silent and peer.has_responsive_connection():
                    _LOG.warning(
                        "peers: closing a silent stream to %s: the peer "
                        "replies on another one",
                        peer_id,
                    )
                    connection.close()
                    return
                continue
            if self._identity.node_id > peer_id:
                await trio.sleep(SECOND_REPLACE_DELAY_S)
                if peer.has_responsive_connection():
                    continue
            address = self._addresses.get(peer_id)
            if address is not None:
                await self._dial(address, expected_node_id=peer_id)
            if not peer.has_responsive_connection():
                await backoff.sleep()

    async def _close_duplicate_loop(
        self, peer: _Peer, connection: _connection.Connection
    ) -> None:
        """Closes a duplicate connection once it is idle.

        Only the end that dialed the connection closes it, and only after a
        delay, so that the peer has time to choose the other connection and no
        call is aborted.
        """
        while connection.dialed:
            await trio.sleep(DUPLICATE_CLOSE_DELAY_S)
            preferred = peer.choose_connection(self._identity.node_id)
            if preferred is not connection and connection.idle:
                connection.close()
                return
