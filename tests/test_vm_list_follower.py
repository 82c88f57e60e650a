"""Tests of a node's polling of the VM list."""

import logging
import unittest

import result
import trio
import trio.testing

from geraniumstair import store
from geraniumstair.node import _vm_list


class _FailingList:
    """VM list whose fetches fail; the fifth one also cancels the poll."""

    def __init__(self, scope: trio.CancelScope) -> None:
        self._scope = scope
        self._fetches = 0

    async def fetch(self) -> result.Result:
        self._fetches += 1
        if self._fetches == 5:
            self._scope.cancel()
        failure = store.StoreFailure(store.Effect.NONE, "down")
        return result.Err(failure)


class PollVmListTest(unittest.TestCase):
    """Guards against a log line for each failed fetch of an outage."""

    def test_outage_is_logged_once(self) -> None:
        async def main() -> None:
            with trio.CancelScope() as scope:
                await _vm_list.poll_vm_list(
                    _FailingList(scope), None, None, 7001
                )

        with self.assertLogs("geraniumstair.node", logging.INFO) as logs:
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(len(logs.records), 1)
        self.assertIn("Cannot read the VM list: down", logs.output[0])
