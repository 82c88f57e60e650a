"""Opens non-blocking TCP sockets."""

import errno
import os
import socket

import trio


async def connect(
    address: str,
    port: int,
    timeout_s: float,
    *,
    user_timeout_ms: int | None = None,
) -> socket.socket:
    """Opens a connection.

    Args:
        address: IP address.
        port: TCP port.
        timeout_s: Time in which it must be open.
        user_timeout_ms: Time after which a peer that acknowledges nothing is
            taken to be gone; None leaves it to the system.

    Returns:
        A connected socket without delayed writes.

    Raises:
        OSError: The address cannot be reached in time.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if user_timeout_ms is not None:
            opened.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
            )
        opened.setblocking(False)
        with trio.fail_after(timeout_s):
            await _connect(opened, (address, port))
    except trio.TooSlowError as error:
        opened.close()
        raise TimeoutError("connecting took too long") from error
    except BaseException:
        opened.close()
        raise
    return opened


async def _connect(opened: socket.socket, address: tuple[str, int]) -> None:
    status = opened.connect_ex(address)
    if status == errno.EINPROGRESS:
        await trio.lowlevel.wait_writable(opened)
        status = opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if status:
        raise OSError(status, os.strerror(status))
