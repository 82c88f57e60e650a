"""Registry of endpoints, which register themselves.

The node on the users' platform (`python -m geraniumstair.platform`) uses this
package.
"""

from geraniumstair.discovery._registry import EndpointEntry
from geraniumstair.discovery._registry import EndpointRegistry
from geraniumstair.discovery._registry import EndpointState

__all__ = ["EndpointEntry", "EndpointRegistry", "EndpointState"]
