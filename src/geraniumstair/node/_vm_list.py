"""Polls the platform's list of VMs."""

import logging

import result
import trio

from geraniumstair import dispatch
from geraniumstair import membership
from geraniumstair import store as store_package

_LOG = logging.getLogger(__name__)
# An endpoint on a leaving VM must receive no new requests after 3 s.
FETCH_INTERVAL_S = 2.0


async def poll_vm_list(
    vm_list: store_package.VmList,
    members: membership.Membership,
    dispatcher: dispatch.Dispatcher,
    peer_port: int,
) -> None:
    """Fetches the list every `FETCH_INTERVAL_S` until cancelled.

    Args:
        vm_list: Source of the list.
        members: Receives the addresses of VMs that may run nodes.
        dispatcher: Receives the names of leaving VMs.
        peer_port: Port on which nodes listen for peers.
    """
    readable = True
    while True:
        fetched = await vm_list.fetch()
        if isinstance(fetched, result.Ok):
            if not readable:
                _LOG.info("node: The VM list can be read again.")
            readable = True
            vms = fetched.ok_value
            leaving = store_package.VmState.LEAVING
            dispatcher.set_leaving_vms(
                frozenset(vm.vm for vm in vms if vm.state is leaving)
            )
            members.apply_vm_list(
                [
                    membership.ListedVm(vm.address, vm.state is leaving)
                    for vm in vms
                ],
                peer_port,
            )
        elif readable:
            # Only the first failure of an outage is logged, not each fetch.
            readable = False
            _LOG.warning(
                "node: Cannot read the VM list: %s.",
                fetched.err_value.detail,
            )
        await trio.sleep(FETCH_INTERVAL_S)
