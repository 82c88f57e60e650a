"""Tests of a node's gauges, change log and check of its ports."""

import logging
import socket
from typing import Any
import unittest

from geraniumstair import configuration
from geraniumstair import observe
from geraniumstair._generated import settings
from geraniumstair.node import _change_logger
from geraniumstair.node import _gauges
from geraniumstair.node import _ports


class _Members:
    def __init__(self) -> None:
        self.alive_node_ids = frozenset({"n1", "n2", "n3"})
        self.owned: dict[str, int] = {"s": 1}
        self.majority = True
        self.leaving: set[str] = set()

    def alive_members(self) -> frozenset[str]:
        return self.alive_node_ids

    def ownership(self) -> dict[str, int]:
        return self.owned

    def dump(self) -> dict[str, Any]:
        members = {
            n: {"leaving": n in self.leaving} for n in self.alive_node_ids
        }
        return {"members": members}

    def has_majority(self) -> bool:
        return self.majority


class _Dispatcher:
    def dump(self) -> dict[str, Any]:
        shard = {"in_flight": 2, "queued": 5}
        return {"shards": [shard, shard]}


def register_fake_gauges(metrics: observe.MetricsRegistry) -> _Members:
    """Registers gauges that read fakes; returns the fake membership."""
    members = _Members()
    holder = configuration.ConfigurationHolder()
    _gauges.register_gauges(metrics, holder, members, _Dispatcher())
    return members


class RegisterGaugesTest(unittest.TestCase):
    """Guards against gauges that keep their values from the start."""

    def test_gauges_show_the_current_state(self) -> None:
        metrics = observe.MetricsRegistry()
        members = register_fake_gauges(metrics)
        members.alive_node_ids = frozenset({"n1"})
        text = metrics.render().decode()
        for line in (
            "geraniumstair_configuration_revision 0.0",
            "geraniumstair_membership_alive_members 1.0",
            "geraniumstair_membership_owned_shards 1.0",
            "geraniumstair_dispatch_slots_in_use 4.0",
            "geraniumstair_dispatch_queue_length 10.0",
        ):
            self.assertIn(line, text)


class ChangeLoggerTest(unittest.TestCase):
    """Guards against failures of nodes that are not logged, or repeatedly."""

    def _collect_lines(
        self, change_logger: _change_logger.ChangeLogger
    ) -> list[str]:
        with self.assertLogs("geraniumstair.node", logging.INFO) as logs:
            change_logger.log_changes()
            logging.getLogger("geraniumstair.node").info("end")
        return [record.getMessage() for record in logs.records][:-1]

    def test_each_change_is_logged_once(self) -> None:
        members = _Members()
        change_logger = _change_logger.ChangeLogger("n1", members)
        self.assertEqual(
            self._collect_lines(change_logger),
            [
                "node: Members alive: n2, n3.",
                "node: Owned shards: 1, previously 0.",
                "node: This node reaches a majority of its region.",
            ],
        )
        self.assertEqual(self._collect_lines(change_logger), [])
        members.alive_node_ids = frozenset({"n1"})
        members.owned = {"s": 1, "t": 1}
        members.majority = False
        self.assertEqual(
            self._collect_lines(change_logger),
            [
                "node: Members silent: n2, n3.",
                "node: Owned shards: 2, previously 1.",
                "node: This node does not reach a majority of its region.",
            ],
        )

    def test_graceful_leave_is_not_a_warning(self) -> None:
        members = _Members()
        change_logger = _change_logger.ChangeLogger("n1", members)
        change_logger.log_changes()
        members.leaving = {"n2"}
        self.assertEqual(
            self._collect_lines(change_logger), ["node: Members leaving: n2."]
        )
        members.alive_node_ids = frozenset({"n1", "n3"})
        self.assertEqual(
            self._collect_lines(change_logger), ["node: Members left: n2."]
        )

    def test_long_member_list_is_shortened(self) -> None:
        members = _Members()
        members.alive_node_ids = frozenset(f"n{i}" for i in range(100, 890))
        line = self._collect_lines(_change_logger.ChangeLogger("n1", members))[
            0
        ]
        self.assertLess(len(line), 80)
        self.assertIn("and 785 more", line)


class DescribeBindFailureTest(unittest.TestCase):
    """Guards against a traceback when a port is in use."""

    def _build_settings(self, port: int) -> settings.Settings:
        listener = {"address": "127.0.0.1", "port": 0}
        return settings.Settings.model_validate(
            {
                "node_id": "n1",
                "region": "r1",
                "availability_zone": "r1-a",
                "peer_listener": listener,
                "caller_listener": listener | {"port": port},
                "operator_listener": listener,
                "cluster_key": "k" * 16,
                "operator_token": "t" * 16,
                "store": {"urls": ["http://127.0.0.1:1"]},
            }
        )

    def test_port_in_use_is_named(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            port = server.getsockname()[1]
            failure = _ports.describe_bind_failure(self._build_settings(port))
            self.assertIn(f"caller_listener 127.0.0.1 port {port}", failure)
        self.assertEqual(
            _ports.describe_bind_failure(self._build_settings(0)), ""
        )
