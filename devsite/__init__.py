"""Runs a local site for development, tests and benchmarks.

A site consists of nodes and of stand-ins for the store, the VM list and the
endpoints; each runs in a process that listens on loopback.
"""

from devsite._caller import CallerClient
from devsite._caller import CallerReply
from devsite._documents import ASSOCIATION
from devsite._documents import COOPERATIVE
from devsite._documents import SIZES
from devsite._documents import SMALL
from devsite._documents import ServiceGroup
from devsite._documents import SiteSize
from devsite._documents import build_document
from devsite._documents import build_endpoint_settings
from devsite._documents import render_document
from devsite._ports import allocate_ports
from devsite._processes import ManagedProcess
from devsite._processes import ProcessFailed
from devsite._site import Site
from devsite._site import SiteOptions
from devsite._standins import EndpointFleet

__all__ = [
    "ASSOCIATION",
    "COOPERATIVE",
    "SIZES",
    "SMALL",
    "CallerClient",
    "CallerReply",
    "EndpointFleet",
    "ManagedProcess",
    "ProcessFailed",
    "ServiceGroup",
    "Site",
    "SiteOptions",
    "SiteSize",
    "build_document",
    "build_endpoint_settings",
    "allocate_ports",
    "render_document",
]
