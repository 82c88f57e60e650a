"""Runs one node on the users' platform."""

import gc
import logging
import os
import sys

import trio

from geraniumstair import edge
from geraniumstair import errors
from geraniumstair import observe
from geraniumstair import store
from geraniumstair.platform import _decoder
from geraniumstair.platform import _http
from geraniumstair.platform import _settings
from geraniumstair.platform import _store

_LOG = logging.getLogger("geraniumstair.platform")
# The platform names the settings file in this variable.
SETTINGS_VARIABLE = "GERANIUMSTAIR_BOOT"
UNUSABLE_SETTINGS_STATUS = 2
# Lines with the same message in ten seconds; enough for each failed request
# of a small site, and a bound under load.
LOG_LINES_OF_A_KIND = 200


async def _run(path: str) -> None:
    settings = _settings.load_settings(path)
    metrics = store.StoreMetrics(observe.process_metrics())
    adapters = edge.EdgeAdapters(
        store=_store.PlatformStore(settings.store.address, metrics),
        decoder=_decoder.PlatformDecoder(),
        encoder=_decoder.PlatformEncoder(),
        dialect=_http.PlatformDialect(),
        codec=_http.PlatformCodec(),
    )

    def load() -> edge.EdgeSettings:
        return _settings.edge_settings(_settings.load_settings(path))

    await edge.EdgeNode(load(), adapters, load).run()


def main() -> int:
    """Runs a node; returns the exit status."""
    handler = observe.NonBlockingHandler(sys.stdout.fileno())
    observe.configure_logging(
        "json", "INFO", handler=handler, burst=LOG_LINES_OF_A_KIND
    )
    observe.process_metrics().gauge(
        "log",
        "dropped_lines",
        "Log lines that were dropped because nobody read them in time.",
        lambda: handler.dropped_lines,
    )
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        _LOG.error("platform: %s names no settings file", SETTINGS_VARIABLE)
        return UNUSABLE_SETTINGS_STATUS
    # Modules and classes stay until the end; the collector need not visit them.
    gc.freeze()
    try:
        trio.run(_run, path)
    except errors.SettingsError as error:
        _LOG.error("platform: %s", error)
        return UNUSABLE_SETTINGS_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main())
