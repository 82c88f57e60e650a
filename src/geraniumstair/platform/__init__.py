"""Runs geraniumstair on the users' platform.

This package translates the names and formats of the platform. No other package
uses these names and formats, or imports this package.

The node on the users' platform (`python -m geraniumstair.platform`) uses this
package.
"""
