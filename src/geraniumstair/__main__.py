"""Runs the command line with `python -m geraniumstair`."""

import sys

from geraniumstair import cli

if __name__ == "__main__":
    sys.exit(cli.main())
