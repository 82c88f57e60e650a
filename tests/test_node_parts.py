"""Tests of a node's gauges and of its log of changes."""

import logging
import socket
from typing import Any
import unittest

from geraniumstair import configuration
from geraniumstair import observe
from geraniumstair._generated import settings
from geraniumstair.node import _gauges
from geraniumstair.node import _journal
from geraniumstair.node import _ports


class _Members:
    def __init__(self) -> None:
        self.living = frozenset({"n1", "n2", "n3"})
        self.owned: dict[str, int] = {"s": 1}
        self.majority = True
        self.leaving: set[str] = set()

    def alive(self) -> frozenset[str]:
        return self.living

    def ownership(self) -> dict[str, int]:
        return self.owned

    def dump(self) -> dict[str, Any]:
        members = {n: {"leaving": n in self.leaving} for n in self.living}
        return {"members": members}

    def has_majority(self) -> bool:
        return self.majority


class _Dispatcher:
    def dump(self) -> dict[str, Any]:
        shard = {"in_flight": 2, "queued": 5}
        return {"shards": [shard, shard]}


def register_fake_gauges(metrics: observe.MetricsRegistry) -> _Members:
    """Adds the gauges of a node of fakes; returns its members."""
    members = _Members()
    holder = configuration.ConfigurationHolder()
    _gauges.register_gauges(metrics, holder, members, _Dispatcher())
    return members


class RegisterGaugesTest(unittest.TestCase):
    """Guards against gauges that show the state at the start for ever."""

    def test_gauges_follow_the_state(self) -> None:
        metrics = observe.MetricsRegistry()
        members = register_fake_gauges(metrics)
        members.living = frozenset({"n1"})
        text = metrics.render().decode()
        for line in (
            "geraniumstair_configuration_revision 0.0",
            "geraniumstair_membership_alive_members 1.0",
            "geraniumstair_membership_owned_shards 1.0",
            "geraniumstair_dispatch_slots_in_use 4.0",
            "geraniumstair_dispatch_queue_length 10.0",
        ):
            self.assertIn(line, text)


class ChangeJournalTest(unittest.TestCase):
    """Guards against a log that is silent when a node dies, or never."""

    def _lines(self, journal: _journal.ChangeJournal) -> list[str]:
        with self.assertLogs("geraniumstair.node", logging.INFO) as logs:
            journal.log()
            logging.getLogger("geraniumstair.node").info("end")
        return [record.getMessage() for record in logs.records][:-1]

    def test_each_change_is_logged_once(self) -> None:
        members = _Members()
        journal = _journal.ChangeJournal("n1", members)
        self.assertEqual(
            self._lines(journal),
            [
                "node: Members alive: n2, n3.",
                "node: Owns 1 shards, before 0.",
                "node: Reaches a majority of its region.",
            ],
        )
        self.assertEqual(self._lines(journal), [])
        members.living = frozenset({"n1"})
        members.owned = {"s": 1, "t": 1}
        members.majority = False
        self.assertEqual(
            self._lines(journal),
            [
                "node: Members silent: n2, n3.",
                "node: Owns 2 shards, before 1.",
                "node: Does not reach a majority of its region.",
            ],
        )

    def test_a_graceful_leave_is_no_warning(self) -> None:
        members = _Members()
        journal = _journal.ChangeJournal("n1", members)
        journal.log()
        members.leaving = {"n2"}
        self.assertEqual(self._lines(journal), ["node: Members leaving: n2."])
        members.living = frozenset({"n1", "n3"})
        self.assertEqual(self._lines(journal), ["node: Members gone: n2."])

    def test_many_members_make_a_short_line(self) -> None:
        members = _Members()
        members.living = frozenset(f"n{i}" for i in range(100, 890))
        line = self._lines(_journal.ChangeJournal("n1", members))[0]
        self.assertLess(len(line), 80)
        self.assertIn("and 785 more", line)


class FindUnusableTest(unittest.TestCase):
    """Guards against a traceback where a port is in use."""

    def _settings(self, port: int) -> settings.Settings:
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
            found = _ports.find_unusable(self._settings(port))
            self.assertIn(f"caller_listener 127.0.0.1 port {port}", found)
        self.assertEqual(_ports.find_unusable(self._settings(0)), "")
