"""HTTP listeners."""

from geraniumstair.listeners._listeners import serve_http

__all__ = ["serve_http"]
