"""The process of one node on the users' platform."""

import gc
import ipaddress
import logging
import os
import socket
import sys

import trio

from geraniumstair import errors
from geraniumstair import gateway
from geraniumstair import observe
from geraniumstair import peers
from geraniumstair import store
from geraniumstair.platform import _decoder
from geraniumstair.platform import _early_listener
from geraniumstair.platform import _http
from geraniumstair.platform import _settings
from geraniumstair.platform import _store
from geraniumstair.platform import _usage_api

_LOG = logging.getLogger("geraniumstair.platform")
INVALID_SETTINGS_EXIT_STATUS = 2
# Maximum number of lines with the same message that are logged in ten seconds.
# It suffices to log each failed request of a small site, and bounds the number
# of lines under load.
LOG_BURST_LINES = 200


async def _run(path: str, listener: socket.socket | None) -> None:
    settings = _settings.load_settings(path)
    metrics = store.StoreMetrics(observe.process_metrics())
    adapters = gateway.GatewayAdapters(
        store=_store.PlatformStore(settings.store.address, metrics),
        decoder=_decoder.PlatformDecoder(),
        encoder=_decoder.PlatformEncoder(),
        dialect=_http.PlatformDialect(),
        codec=_http.PlatformCodec(),
        configuration_key=_decoder.CONFIG_KEY,
        usage_api=_build_usage_api(settings),
    )

    def load_gateway_settings() -> gateway.GatewaySettings:
        return _settings.build_gateway_settings(_settings.load_settings(path))

    node_settings = load_gateway_settings()
    await gateway.GatewayNode(
        node_settings,
        adapters,
        load_gateway_settings,
        _select_listener(listener, node_settings.callers),
    ).run()


def _build_usage_api(
    settings: _settings.PlatformSettings,
) -> _usage_api.UsageApi | None:
    address = settings.usage_api_address
    if address is None:
        return None
    return _usage_api.UsageApi(address, settings.node_id)


def _select_listener(
    listener: socket.socket | None, callers: peers.PeerAddress
) -> socket.socket | None:
    """Returns the listener if it has the address that is in force now."""
    if listener is None:
        return None
    address, port = listener.getsockname()[:2]
    if ipaddress.ip_address(address) == ipaddress.ip_address(
        callers.address
    ) and (port == callers.port):
        return listener
    _LOG.info("platform: the address for callers changed during the start")
    listener.close()
    return None


def run(listener: socket.socket | None = None) -> int:
    """Runs a node; returns the exit status.

    Args:
        listener: Listening socket for callers; None opens one.
    """
    handler = observe.NonBlockingHandler(sys.stdout.fileno())
    observe.configure_logging(
        "json", "INFO", handler=handler, burst=LOG_BURST_LINES
    )
    observe.process_metrics().gauge(
        "log",
        "dropped_lines",
        "Log lines that were dropped because nobody read them in time.",
        lambda: handler.dropped_lines,
    )
    path = os.environ.get(_early_listener.SETTINGS_VARIABLE, "")
    if not path:
        _LOG.error(
            "platform: environment variable %s is not set",
            _early_listener.SETTINGS_VARIABLE,
        )
        return INVALID_SETTINGS_EXIT_STATUS
    # Modules and classes exist until the process ends, so the garbage
    # collector can skip them.
    gc.freeze()
    gc.enable()
    try:
        trio.run(_run, path, listener)
    except errors.SettingsError as error:
        _LOG.error("platform: %s", error)
        return INVALID_SETTINGS_EXIT_STATUS
    return 0
