"""A loopback proxy that delays, resets or silences connections."""

import enum

import trio

_READ_BYTES = 65536
DELAY_S = 0.2


class ProxyFault(enum.Enum):
    """What the proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one_way"


class Proxy:
    """Passes connections on to one port of loopback.

    Attributes:
        fault: What it does now.
        port: Where it listens.
    """

    def __init__(self, target_port: int) -> None:
        self.fault = ProxyFault.NONE
        self.port = 0
        self._target_port = target_port
        self._scopes: set[trio.CancelScope] = set()

    def reset(self) -> None:
        """Resets all connections."""
        for scope in list(self._scopes):
            scope.cancel()

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled; reports the port."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started(self.port)
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, near: trio.SocketStream) -> None:
        scope = trio.CancelScope()
        self._scopes.add(scope)
        try:
            with scope:
                await self._pass(near)
        except OSError:
            # The target is not listening; the connection just ends.
            pass
        finally:
            self._scopes.discard(scope)
            await trio.aclose_forcefully(near)

    async def _pass(self, near: trio.SocketStream) -> None:
        far = await trio.open_tcp_stream("127.0.0.1", self._target_port)
        async with far, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, near, far, True, nursery)
            nursery.start_soon(self._copy, far, near, False, nursery)

    async def _copy(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        forward: bool,
        nursery: trio.Nursery,
    ) -> None:
        try:
            async for data in source:
                if self.fault is ProxyFault.DELAY:
                    await trio.sleep(DELAY_S)
                silent = self.fault is ProxyFault.SILENCE
                if silent or (self.fault is ProxyFault.ONE_WAY and not forward):
                    continue
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # One side has closed the connection.
            pass
        nursery.cancel_scope.cancel()
