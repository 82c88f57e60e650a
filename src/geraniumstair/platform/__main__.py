"""Starts one node on the users' platform."""

import gc
import signal
import sys


def main() -> int:
    """Runs a node; returns the exit status."""
    # The default action of SIGHUP ends the process. The settings are read after
    # this point, so a signal that asks to read them again may be ignored.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Importing the libraries takes most of the start.
    # Nearly all that the imports create stays until the process ends.
    # Collecting garbage meanwhile takes 6% of their time, and not collecting it
    # takes 1 MB. `_process.run` enables the collector again.
    gc.disable()
    from geraniumstair.platform import _process

    return _process.run()


if __name__ == "__main__":
    sys.exit(main())
