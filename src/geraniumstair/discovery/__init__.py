"""Registry of endpoints, which register themselves.

Used on the users' platform (`python -m geraniumstair.platform`).
"""

from geraniumstair.discovery._registry import EndpointEntry
from geraniumstair.discovery._registry import EndpointRegistry
from geraniumstair.discovery._registry import EndpointState

__all__ = ["EndpointEntry", "EndpointRegistry", "EndpointState"]
