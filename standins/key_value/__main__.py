"""Command line: `python -m standins.key_value --port N`."""

import functools

from standins import command_line
from standins import key_value

if __name__ == "__main__":
    command_line.run(
        __doc__,
        functools.partial(
            key_value.serve, key_value.KeyValueState(), key_value.FaultPlan()
        ),
    )
