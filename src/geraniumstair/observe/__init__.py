"""Logs, metrics and the state dump.

Both kinds of node (`geraniumstair node` and
`python -m geraniumstair.platform`) use this package.
"""

from geraniumstair.observe._logging import NonBlockingHandler
from geraniumstair.observe._logging import RateLimitFilter
from geraniumstair.observe._logging import configure_logging
from geraniumstair.observe._logging import fields
from geraniumstair.observe._logging import get_component_logger
from geraniumstair.observe._metrics import MetricsRegistry
from geraniumstair.observe._metrics import import_library
from geraniumstair.observe._metrics import process_metrics
from geraniumstair.observe._state_dump import StateDump

__all__ = [
    "MetricsRegistry",
    "NonBlockingHandler",
    "RateLimitFilter",
    "StateDump",
    "get_component_logger",
    "configure_logging",
    "fields",
    "import_library",
    "process_metrics",
]
