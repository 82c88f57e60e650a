"""Logs changes of membership, owned shards and majority."""

from collections.abc import Iterable
import logging

import trio

from geraniumstair import membership

_LOG = logging.getLogger(__name__)
# Changes with one cause, such as the failure of a node, arrive within this time
# and are logged together.
LOG_DELAY_S = 0.5
_MAX_LOGGED_NODE_IDS = 5


def _join_node_ids(node_ids: Iterable[str]) -> str:
    ordered = sorted(node_ids)
    omitted_count = len(ordered) - _MAX_LOGGED_NODE_IDS
    shown = ", ".join(ordered[:_MAX_LOGGED_NODE_IDS])
    return f"{shown} and {omitted_count} more" if omitted_count > 0 else shown


class ChangeLogger:
    """Logs how the membership differs from the state that was logged last.

    Args:
        node_id: This node.
        members: The membership.
    """

    def __init__(self, node_id: str, members: membership.Membership) -> None:
        self._node_id = node_id
        self._members = members
        self._alive = frozenset([node_id])
        self._leaving: frozenset[str] = frozenset()
        self._shard_count = 0
        self._has_majority = False

    def log_changes(self) -> None:
        """Logs what has changed since the last call."""
        alive = self._members.alive_members() | {self._node_id}
        leaving = self._get_leaving_members()
        if announced := leaving - self._leaving - {self._node_id}:
            _LOG.info("node: Members leaving: %s.", _join_node_ids(announced))
        no_longer_alive = self._alive - alive
        if left := no_longer_alive & (leaving | self._leaving):
            _LOG.info("node: Members left: %s.", _join_node_ids(left))
        if silent := no_longer_alive - left:
            _LOG.warning("node: Members silent: %s.", _join_node_ids(silent))
        self._leaving = leaving
        if joined := alive - self._alive:
            _LOG.info("node: Members alive: %s.", _join_node_ids(joined))
        self._alive = alive
        shard_count = len(self._members.ownership())
        if shard_count != self._shard_count:
            _LOG.info(
                "node: Owned shards: %d, previously %d.",
                shard_count,
                self._shard_count,
            )
        self._shard_count = shard_count
        self._log_majority()

    def _get_leaving_members(self) -> frozenset[str]:
        members = self._members.dump()["members"]
        return frozenset(n for n, m in members.items() if m["leaving"])

    def _log_majority(self) -> None:
        has_majority = self._members.has_majority()
        if has_majority and not self._has_majority:
            _LOG.info("node: This node reaches a majority of its region.")
        if self._has_majority and not has_majority:
            _LOG.warning(
                "node: This node does not reach a majority of its region."
            )
        self._has_majority = has_majority


async def log_membership_changes(
    node_id: str, members: membership.Membership
) -> None:
    """Logs changes of membership and ownership until cancelled.

    Args:
        node_id: This node.
        members: The membership.
    """
    change_logger = ChangeLogger(node_id, members)
    change_count = -1
    while True:
        change_count = await members.wait_for_change(change_count)
        await trio.sleep(LOG_DELAY_S)
        change_logger.log_changes()
