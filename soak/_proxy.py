"""A TCP proxy on loopback that can delay, drop and reset traffic."""

import enum

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
        self._connection_scopes: set[trio.CancelScope] = set()

    def reset(self) -> None:
        """Closes all connections at once."""
        for scope in list(self._connection_scopes):
            scope.cancel()

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled; reports the port."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started(self.port)
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, client: trio.SocketStream) -> None:
        scope = trio.CancelScope()
        self._connection_scopes.add(scope)
        try:
            with scope:
                await self._relay(client)
        except OSError:
            # The target is not listening, so the proxy closes the connection.
            pass
        finally:
            self._connection_scopes.discard(scope)
            await trio.aclose_forcefully(client)

    async def _relay(self, client: trio.SocketStream) -> None:
        server = await trio.open_tcp_stream("127.0.0.1", self._target_port)
        async with server, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy_bytes, client, server, True, nursery)
            nursery.start_soon(self._copy_bytes, server, client, False, nursery)

    async def _copy_bytes(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        to_target: bool,
        nursery: trio.Nursery,
    ) -> None:
        try:
            async for data in source:
                if self.fault is ProxyFault.DELAY:
                    await trio.sleep(DELAY_S)
                drops_all = self.fault is ProxyFault.SILENCE
                if drops_all or (
                    self.fault is ProxyFault.ONE_WAY and not to_target
                ):
                    continue
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # One side has closed the connection.
            pass
        nursery.cancel_scope.cancel()
