"""Checks that the addresses of a node can be bound."""

import socket

from geraniumstair._generated import settings as settings_models


def describe_bind_failure(settings: settings_models.Settings) -> str:
    """Tries to bind each listener's address before the node starts.

    Returns:
        Why the first address that fails cannot be bound; empty if all of
        them can be bound.
    """
    for name in ("peer_listener", "caller_listener", "operator_listener"):
        listener = getattr(settings, name)
        is_v6 = ":" in listener.address
        family = socket.AF_INET6 if is_v6 else socket.AF_INET
        with socket.socket(family, socket.SOCK_STREAM) as test_socket:
            # The listeners set this option too: it allows binding a port
            # that closed connections still occupy.
            test_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                test_socket.bind((listener.address, listener.port))
            except OSError as error:
                return (
                    f"{name} {listener.address} port {listener.port}: "
                    f"{error.strerror}"
                )
    return ""
