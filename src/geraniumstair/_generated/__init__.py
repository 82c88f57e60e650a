"""Code generated from `schema/` by `python -m tools.generate`."""
