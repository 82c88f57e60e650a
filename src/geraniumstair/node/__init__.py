"""The daemon."""

import logging

import trio

from geraniumstair import observe
from geraniumstair._generated import settings as settings_models
from geraniumstair.node import _node
from geraniumstair.node import _ports
from geraniumstair.node._settings import load_settings

_LOG = logging.getLogger(__name__)
# The command line's exit status for faults of the settings.
UNUSABLE_LISTENER_STATUS = 3

__all__ = ["load_settings", "main", "run"]


async def run(settings: settings_models.Settings) -> None:
    """Runs a node until it is told to shut down.

    Args:
        settings: Validated settings.
    """
    await _node.Node(settings).run()


def main(settings: settings_models.Settings) -> int:
    """Sets up logging and runs a node.

    Args:
        settings: Validated settings.

    Returns:
        Exit status: `UNUSABLE_LISTENER_STATUS` if a listener's address
        cannot be used.
    """
    observe.configure_logging(
        settings.log_format,
        settings.log_level,
        secrets=[settings.cluster_key, settings.operator_token],
    )
    unusable = _ports.find_unusable(settings)
    if unusable:
        _LOG.error(
            "node: Cannot listen on %s. Change the settings, or stop the "
            "process that uses the port.",
            unusable,
        )
        return UNUSABLE_LISTENER_STATUS
    trio.run(run, settings)
    return 0
