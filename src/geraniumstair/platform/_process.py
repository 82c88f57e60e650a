"""The process of one node on the users' platform."""

import gc
import logging
import os
import sys

import trio

from geraniumstair import errors
from geraniumstair import gateway
from geraniumstair import observe
from geraniumstair import store
from geraniumstair.platform import _decoder
from geraniumstair.platform import _http
from geraniumstair.platform import _settings
from geraniumstair.platform import _store
from geraniumstair.platform import _usage_api

_LOG = logging.getLogger("geraniumstair.platform")
# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "GERANIUMSTAIR_BOOT"
INVALID_SETTINGS_EXIT_STATUS = 2
# Maximum number of lines with the same message that are logged in ten seconds.
# It suffices to log each failed request of a small site, and bounds the number
# of lines under load.
LOG_BURST_LINES = 200


async def _run(path: str) -> None:
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

    await gateway.GatewayNode(
        load_gateway_settings(), adapters, load_gateway_settings
    ).run()


def _build_usage_api(
    settings: _settings.PlatformSettings,
) -> _usage_api.UsageApi | None:
    address = settings.usage_api_address
    if address is None:
        return None
    return _usage_api.UsageApi(address, settings.node_id)


def run() -> int:
    """Runs a node; returns the exit status."""
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
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        _LOG.error(
            "platform: environment variable %s is not set",
            SETTINGS_VARIABLE,
        )
        return INVALID_SETTINGS_EXIT_STATUS
    # Modules and classes exist until the process ends, so the garbage
    # collector can skip them.
    gc.freeze()
    gc.enable()
    try:
        trio.run(_run, path)
    except errors.SettingsError as error:
        _LOG.error("platform: %s", error)
        return INVALID_SETTINGS_EXIT_STATUS
    return 0
