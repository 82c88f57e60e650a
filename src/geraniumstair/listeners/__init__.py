"""HTTP listeners.

Used by both interfaces of the product.
"""

from geraniumstair.listeners._listeners import serve_http
from geraniumstair.listeners._listeners import serve_lifespan

__all__ = ["serve_http", "serve_lifespan"]
