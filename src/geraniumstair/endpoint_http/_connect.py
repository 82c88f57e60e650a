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
        timeout_s: Time within which the connection must be open.
        user_timeout_ms: Time after which a peer that acknowledges no data
            counts as lost; None uses the system's default.

    Returns:
        A connected socket with `TCP_NODELAY`.

    Raises:
        OSError: The address cannot be reached in time.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    new_socket = socket.socket(family, socket.SOCK_STREAM)
    try:
        new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if user_timeout_ms is not None:
            new_socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
            )
        new_socket.setblocking(False)
        with trio.fail_after(timeout_s):
            await _connect(new_socket, (address, port))
    except trio.TooSlowError as error:
        new_socket.close()
        raise TimeoutError("the connection attempt timed out") from error
    except BaseException:
        new_socket.close()
        raise
    return new_socket


async def _connect(new_socket: socket.socket, address: tuple[str, int]) -> None:
    status = new_socket.connect_ex(address)
    if status == errno.EINPROGRESS:
        await trio.lowlevel.wait_writable(new_socket)
        status = new_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if status:
        raise OSError(status, os.strerror(status))
