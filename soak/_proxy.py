"""A TCP proxy on loopback that can delay, drop and reset traffic."""

import dataclasses
import enum
import random

import trio

_READ_BYTES = 65536
DELAY_S = 0.2


class ProxyFault(enum.Enum):
    """Faults of a proxy.

    Attributes:
        NONE: The proxy forwards all bytes.
        DELAY: The proxy delays the bytes of both directions.
        SILENCE: The proxy drops the bytes of both directions.
        ONE_WAY: The proxy drops the bytes from the target to the client.
    """

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one_way"


@dataclasses.dataclass(slots=True, eq=False)
class _Relay:
    """One connection through a proxy.

    Attributes:
        scope: Closes the connection when it is cancelled.
        silent: The bytes of both directions are dropped until the end of the
            connection.
    """

    scope: trio.CancelScope
    silent: bool = False


class Proxy:
    """Forwards TCP connections to one port on loopback.

    Attributes:
        fault: Active fault.
        port: TCP port of the listener; 0 before `run` has bound it.
    """

    def __init__(self, target_port: int) -> None:
        self.fault = ProxyFault.NONE
        self.port = 0
        self._target_port = target_port
        self._relays: set[_Relay] = set()

    def reset(self) -> None:
        """Closes all connections at once."""
        for relay in list(self._relays):
            relay.scope.cancel()

    def silence_open_connections(self, share: float, rng: random.Random) -> int:
        """Drops all later bytes of some connections, but of no new ones.

        Args:
            share: Share of the connections, 0 to 1.
            rng: Chooses them.

        Returns:
            The number of connections that went silent.
        """
        chosen = [r for r in self._relays if rng.random() < share]
        for relay in chosen:
            relay.silent = True
        return len(chosen)

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled; reports the port."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started(self.port)
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, client: trio.SocketStream) -> None:
        relay = _Relay(trio.CancelScope())
        self._relays.add(relay)
        try:
            with relay.scope:
                await self._relay(client, relay)
        except OSError:
            # The target is not listening, so the proxy closes the connection.
            pass
        finally:
            self._relays.discard(relay)
            await trio.aclose_forcefully(client)

    async def _relay(self, client: trio.SocketStream, relay: _Relay) -> None:
        server = await trio.open_tcp_stream("127.0.0.1", self._target_port)
        async with server, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy_bytes, client, server, True, relay)
            nursery.start_soon(self._copy_bytes, server, client, False, relay)

    async def _copy_bytes(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        to_target: bool,
        relay: _Relay,
    ) -> None:
        try:
            async for data in source:
                if self.fault is ProxyFault.DELAY:
                    await trio.sleep(DELAY_S)
                if self._drops_bytes(to_target, relay):
                    continue
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # One side has closed the connection.
            pass
        relay.scope.cancel()

    def _drops_bytes(self, to_target: bool, relay: _Relay) -> bool:
        if relay.silent or self.fault is ProxyFault.SILENCE:
            return True
        return self.fault is ProxyFault.ONE_WAY and not to_target
