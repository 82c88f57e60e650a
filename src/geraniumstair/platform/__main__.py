"""Starts one node on the users' platform."""

import signal
import sys

from geraniumstair.platform import _early_listener


def main() -> int:
    """Runs a node; returns the exit status."""
    # The default action of SIGHUP ends the process. The settings are read after
    # this point, so a signal that asks to read them again may be ignored.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Importing the libraries takes most of the start. Callers that connect
    # meanwhile are not refused.
    listener = _early_listener.open_listener()
    from geraniumstair.platform import _process

    return _process.run(listener)


if __name__ == "__main__":
    sys.exit(main())
