"""Query tier over many shards.

Each package implements one component. `geraniumstair.node` combines them into
the daemon.
"""

__version__ = "0.1.0"
