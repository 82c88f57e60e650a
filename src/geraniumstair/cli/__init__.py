"""The command line; it imports little at start so that --help is fast."""

from geraniumstair.cli._main import main

__all__ = ["main"]
