"""Command line of the stand-ins that listen on one port."""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
import functools

import trio


async def _serve(serve: Callable[..., Awaitable[object]], port: int) -> None:
    async with trio.open_nursery() as nursery:
        bound_port = await nursery.start(serve, port)
        print(bound_port, flush=True)


def run(
    description: str | None, serve: Callable[..., Awaitable[object]]
) -> None:
    """Serves until interrupted; prints the bound port.

    Args:
        description: Description in the help text.
        serve: Listens on the given port, where 0 selects a free one, and
            reports the bound port.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, default=0)
    port = parser.parse_args().port
    try:
        trio.run(functools.partial(_serve, serve, port))
    except* KeyboardInterrupt:
        pass
