"""Runs a case and turns its outcome into an exit status."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import signal
import sys

from review.harness_2 import nodes
from review.harness_2 import record

LIMIT_S = 110.0
HELD = 0
BROKEN = 1
CANNOT_RUN = 2

# Returns one line for each time that the rule was broken.
Play = Callable[[record.Record, bool], Awaitable[list[str]]]


class _Ended(Exception):
    """The case was told to end."""


async def _play(played: Awaitable[list[str]]) -> list[str]:
    """Ends the processes of the case also at a signal or too late an end."""
    task = asyncio.ensure_future(played)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    try:
        return await asyncio.wait_for(task, LIMIT_S)
    except asyncio.CancelledError:
        raise _Ended("a signal ended the case") from None


def run(folder: pathlib.Path, play: Play) -> None:
    """Plays a case and exits: 0 if the rule held, 1 if not, 2 if neither.

    Args:
        folder: Folder of the case, which gets `record.txt`.
        play: Plays it, with or without the disruption.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    log = record.Record(folder / "record.txt")
    try:
        breaks = asyncio.run(_play(play(log, trouble)))
    except (nodes.CannotRun, TimeoutError, OSError, _Ended) as error:
        log.add(f"the case could not run: {error!r}")
        log.save()
        print(f"the case could not run: {error!r}")
        sys.exit(CANNOT_RUN)
    for line in breaks:
        log.add(f"BROKEN {line}")
    log.add(f"{len(breaks)} breaks, with trouble: {trouble}")
    log.save()
    print("\n".join(breaks[:5]) or "the rule held")
    print(f"{len(breaks)} breaks")
    sys.exit(BROKEN if breaks else HELD)
