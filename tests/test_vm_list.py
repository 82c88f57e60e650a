"""Tests of the VM list client against a stand-in server over loopback."""

import unittest

import trio

from geraniumstair import store
from standins import vm_list

_VM = {
    "vm": "vm-1",
    "address": "10.0.0.1",
    "availability_zone": "az-a",
    "state": "leaving",
}


class HttpVmListTest(unittest.TestCase):
    """Guards against lists that are used without validation."""

    def _run(self, check) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                state = vm_list.VmListState()
                port = await nursery.start(vm_list.serve, state)
                client = store.HttpVmList(f"http://127.0.0.1:{port}/vms")
                with trio.fail_after(20):
                    await check(state, client)
                await client.aclose()
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_reads_the_list(self) -> None:
        async def check(state, client) -> None:
            self.assertEqual((await client.fetch()).unwrap(), [])
            state.replace([_VM])
            self.assertEqual(
                (await client.fetch()).unwrap(),
                [store.Vm("vm-1", "10.0.0.1", "az-a", store.VmState.LEAVING)],
            )
            state.lag_ms = 3_600_000
            state.replace([])
            self.assertEqual(len((await client.fetch()).unwrap()), 1)

        self._run(check)

    def test_failures_are_returned_not_raised(self) -> None:
        async def check(state, client) -> None:
            for change in (
                {"address": "no-address"},
                {"state": "asleep"},
                {"vm": ""},
                {"availability_zone": 7},
            ):
                state.replace([_VM | change])
                self.assertTrue((await client.fetch()).is_err(), change)
            state.down = True
            self.assertTrue((await client.fetch()).is_err())

        self._run(check)
