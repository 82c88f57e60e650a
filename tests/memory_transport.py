"""In-memory transport that can simulate network partitions."""

from collections.abc import Sequence
from typing import Any

import trio
import trio.testing

from geraniumstair import peers


class _MemoryListener(trio.abc.Listener[trio.abc.Stream]):
    def __init__(self, port: int) -> None:
        self.port = port
        self.sender, self._receiver = trio.open_memory_channel[trio.abc.Stream](
            100
        )

    async def accept(self) -> trio.abc.Stream:
        return await self._receiver.receive()

    async def aclose(self) -> None:
        self._receiver.close()
        await trio.lowlevel.checkpoint()


class MemoryNetwork:
    """In-memory network; the port of an address identifies the node."""

    def __init__(self) -> None:
        self._listeners: dict[int, _MemoryListener] = {}
        self._streams: list[tuple[int, int, trio.StapledStream[Any, Any]]] = []
        # The send streams of silent streams, with the hooks that deliver.
        self._silenced: list[tuple[Any, Any]] = []
        self._cut_pairs: set[frozenset[int]] = set()

    def transport(self, port: int) -> "MemoryTransport":
        """Returns the transport of the node with this port."""
        return MemoryTransport(self, port)

    def cut(self, one: int, other: int) -> None:
        """Closes the streams between two nodes and refuses new ones."""
        self._cut_pairs.add(frozenset((one, other)))
        for a, b, stream in self._streams:
            if {a, b} == {one, other}:
                _close(stream)

    def heal(self, one: int, other: int) -> None:
        """Accepts new streams between two nodes again."""
        self._cut_pairs.discard(frozenset((one, other)))

    def silence(self, one: int, other: int) -> None:
        """Holds back all bytes of the open streams between two nodes."""
        for a, b, stream in self._streams:
            if {a, b} == {one, other}:
                sender = stream.send_stream
                hooks = sender.send_all_hook, sender.close_hook
                self._silenced.append((sender, hooks))
                sender.send_all_hook = sender.close_hook = None

    def resume(self) -> None:
        """Delivers the bytes that were held back."""
        for sender, hooks in self._silenced:
            sender.send_all_hook, sender.close_hook = hooks
            trio.lowlevel.spawn_system_task(sender.send_all_hook)
        self._silenced.clear()

    def refuse(self, one: int, other: int) -> None:
        """Refuses new streams between two nodes; open ones remain."""
        self._cut_pairs.add(frozenset((one, other)))

    def open_stream(self, source: int, port: int) -> trio.abc.Stream:
        """Returns a new stream to a listener.

        Raises:
            OSError: There is no listener, its backlog is full, or the nodes are
                cut off from each other.
        """
        listener = self._listeners.get(port)
        if listener is None or frozenset((source, port)) in self._cut_pairs:
            raise OSError("connection refused")
        near, far = trio.testing.memory_stream_pair()
        try:
            listener.sender.send_nowait(far)
        except (trio.BrokenResourceError, trio.WouldBlock) as error:
            raise OSError("connection refused") from error
        self._streams += [(source, port, near), (port, source, far)]
        return near

    def add_listener(self, port: int) -> _MemoryListener:
        """Adds the listener of a node."""
        listener = _MemoryListener(port)
        self._listeners[port] = listener
        return listener


def _close(stream: trio.StapledStream[Any, Any]) -> None:
    stream.send_stream.close()
    stream.receive_stream.close()


class MemoryTransport:
    """`peers.Transport` of one node in a `MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, port: int) -> None:
        self._network = network
        self._port = port

    async def connect(self, address: peers.PeerAddress) -> trio.abc.Stream:
        await trio.lowlevel.checkpoint()
        return self._network.open_stream(self._port, address.port)

    async def listen(
        self, address: peers.PeerAddress
    ) -> Sequence[trio.abc.Listener[Any]]:
        await trio.lowlevel.checkpoint()
        return [self._network.add_listener(address.port)]

    def bound_port(self, listener: trio.abc.Listener[Any]) -> int:
        assert isinstance(listener, _MemoryListener)
        return listener.port
