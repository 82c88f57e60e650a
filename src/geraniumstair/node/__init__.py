"""Runs a node of the query tier as a daemon (`geraniumstair node`).

`geraniumstair node` uses this package. `gateway` is the node on the users'
platform.
"""

import logging

import trio

from geraniumstair import observe
from geraniumstair._generated import settings as settings_models
from geraniumstair.node import _node
from geraniumstair.node import _ports
from geraniumstair.node._settings import load_settings

_LOG = logging.getLogger(__name__)
# Equal to `ExitCode.INVALID` of the command line.
INVALID_SETTINGS_EXIT_STATUS = 3

__all__ = ["load_settings", "main", "run"]


async def run(settings: settings_models.Settings) -> None:
    """Runs a node until it receives SIGTERM or SIGINT.

    Args:
        settings: Validated settings.
    """
    await _node.Node(settings).run()


def main(settings: settings_models.Settings) -> int:
    """Sets up logging and runs a node.

    Args:
        settings: Validated settings.

    Returns:
        Exit status: `INVALID_SETTINGS_EXIT_STATUS` if the address of a
        listener cannot be bound.
    """
    observe.configure_logging(
        settings.log_format,
        settings.log_level,
        secrets=[settings.cluster_key, settings.operator_token],
    )
    bind_failure = _ports.describe_bind_failure(settings)
    if bind_failure:
        _LOG.error(
            "node: Cannot listen on %s. Change the settings, or stop the "
            "process that uses the port.",
            bind_failure,
        )
        return INVALID_SETTINGS_EXIT_STATUS
    trio.run(run, settings)
    return 0
