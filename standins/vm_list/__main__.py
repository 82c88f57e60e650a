"""Command line: `python -m standins.vm_list --port N`."""

import functools

from standins import command_line
from standins import vm_list

if __name__ == "__main__":
    command_line.run(
        __doc__, functools.partial(vm_list.serve, vm_list.VmListState())
    )
