"""Stand-in that simulates the platform's list of live and leaving VMs."""

from standins.vm_list._application import VmListState
from standins.vm_list._application import build_application
from standins.vm_list._application import serve

__all__ = ["VmListState", "build_application", "serve"]
