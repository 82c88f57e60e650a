"""Tests of the progress of availability zones in the status."""

import types
from typing import Any
import unittest

from geraniumstair import membership
from geraniumstair import rollout
from geraniumstair.node import _status
from tests import builders

_REVISION = 1


class _Members:
    """Fake membership of `n0` to `n2`, as seen by `n0`."""

    def __init__(self, newest: int, in_force: list[str]) -> None:
        self.newest = newest
        self.dumped: dict[str, Any] = {
            "members": {
                f"n{i}": {"age_ms": 0, "alive": True, "leaving": False}
                for i in range(3)
            },
            "in_force": in_force,
            "majority": True,
            "coordinator": "n0",
        }

    def dump(self) -> dict[str, Any]:
        return self.dumped

    def newest_revision(self) -> membership.RevisionSource:
        return membership.RevisionSource(self.newest, "n1")


def _build_zone_row(members: _Members) -> dict[str, Any]:
    topology = builders.build_topology(service_count=1)
    holder = types.SimpleNamespace(revision=topology.revision, current=topology)
    assert topology.revision == _REVISION
    rollout_states = rollout.RolloutStates()
    status = _status.build_status(
        "n0",
        holder,  # type: ignore
        members,  # type: ignore
        types.SimpleNamespace(rollout_states=rollout_states),  # type: ignore
    )
    return status["availability_zones"][0]


class BuildStatusTest(unittest.TestCase):
    """Guards against DONE while a member may still send new requests."""

    def test_done_when_all_members_have_the_revision(self) -> None:
        row = _build_zone_row(_Members(_REVISION, ["n0", "n1", "n2"]))
        self.assertEqual((row["progress"], row["reason"]), ("DONE", ""))

    def test_lagging_member_is_named(self) -> None:
        row = _build_zone_row(_Members(_REVISION, ["n0", "n1"]))
        self.assertEqual(row["progress"], "GOING_ON")
        self.assertEqual(row["waiting_for"], "n2")

    def test_silent_member_is_waited_for(self) -> None:
        members = _Members(_REVISION, ["n0", "n1"])
        members.dumped["members"]["n2"]["alive"] = False
        row = _build_zone_row(members)
        self.assertEqual(row["progress"], "GOING_ON")
        self.assertIn("n2", row["reason"])

    def test_member_that_left_is_not_waited_for(self) -> None:
        members = _Members(_REVISION, ["n0", "n1"])
        members.dumped["members"]["n2"] |= {"alive": False, "leaving": True}
        self.assertEqual(_build_zone_row(members)["progress"], "DONE")

    def test_heartbeats_of_the_previous_revision_do_not_count(self) -> None:
        # The node that accepts a revision puts it in force before any heartbeat
        # reports it.
        row = _build_zone_row(_Members(_REVISION - 1, ["n0", "n1", "n2"]))
        self.assertEqual(row["progress"], "GOING_ON")

    def test_node_without_a_majority_is_not_done(self) -> None:
        members = _Members(_REVISION, ["n0", "n1", "n2"])
        members.dumped["majority"] = False
        row = _build_zone_row(members)
        self.assertEqual(row["progress"], "GOING_ON")

    def test_newer_revision_at_another_node_is_not_done(self) -> None:
        row = _build_zone_row(_Members(_REVISION + 1, ["n1"]))
        self.assertEqual(row["progress"], "GOING_ON")
