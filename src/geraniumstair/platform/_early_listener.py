"""Opens the listener for callers before the libraries are imported.

It imports nothing but small modules of the standard library. Connections of
callers wait in the listener's backlog until the node serves them.
"""

import json
import os
import socket

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "GERANIUMSTAIR_BOOT"
# Connections that wait until the node accepts them.
BACKLOG = 1024


def open_listener() -> socket.socket | None:
    """Returns a listening socket at the address for callers.

    Returns:
        None if the settings name no such address, or if it cannot be used. The
        node then reads the settings and opens the listener itself, and reports
        what is wrong.
    """
    try:
        # Importing `pathlib` would open the listener 8 ms later.
        with open(os.environ[SETTINGS_VARIABLE], "rb") as file:
            listen = json.load(file)["Listen"]
        address, _, port = listen["Front"].rpartition(":")
        return _listen(address, int(port))
    except (
        AttributeError,
        LookupError,
        OSError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ):
        return None


def _listen(address: str, port: int) -> socket.socket | None:
    if port == 0:
        # The system would choose a port that nobody knows.
        return None
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    # A name would have to be looked up, which may take seconds.
    socket.inet_pton(family, address)
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        # Accepted connections inherit the first option. The second one allows a
        # start while connections of the last process are being closed.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address, port))
        listener.listen(BACKLOG)
    except BaseException:
        listener.close()
        raise
    return listener
