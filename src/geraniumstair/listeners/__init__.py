"""HTTP listeners.

Both kinds of node (`geraniumstair node` and
`python -m geraniumstair.platform`) use this package.
"""

from geraniumstair.listeners._listeners import serve_http
from geraniumstair.listeners._listeners import serve_lifespan

__all__ = ["serve_http", "serve_lifespan"]
