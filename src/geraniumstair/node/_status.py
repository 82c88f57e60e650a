"""The status that operators see."""

from collections.abc import Mapping
from typing import Any

from geraniumstair import configuration
from geraniumstair import membership
from geraniumstair import verdict
from geraniumstair.node import _rollouts


def build_status(
    node_id: str,
    holder: configuration.ConfigurationHolder,
    members: membership.Membership,
    rollouts: _rollouts.RolloutDriver,
) -> Mapping[str, Any]:
    """Returns the status for JSON and tables.

    Args:
        node_id: This node.
        holder: The configuration in force here.
        members: Which members are alive and have which revision in force.
        rollouts: States of the rollouts.
    """
    dump = members.dump()
    return {
        "node": node_id,
        "revision": holder.revision,
        "newest_revision": max(
            holder.revision, members.newest_revision().revision
        ),
        "majority": dump["majority"],
        "coordinator": dump["coordinator"],
        "members": _member_rows(dump),
        "availability_zones": _availability_zone_rows(holder, members, dump),
        "rollouts": _rollout_rows(holder, rollouts),
    }


def _member_rows(dump: Mapping[str, Any]) -> list[dict[str, Any]]:
    in_force = set(dump["in_force"])
    rows = []
    for node_id, member in sorted(dump["members"].items()):
        state = "alive" if member["alive"] else "silent"
        if member["leaving"]:
            state = "leaving"
        rows.append(
            {
                "node": node_id,
                "state": state,
                "heard_ms_ago": member["age_ms"],
                "newest_revision_in_force": node_id in in_force,
            }
        )
    return rows


def _waiting_for(
    holder: configuration.ConfigurationHolder,
    members: membership.Membership,
    dump: Mapping[str, Any],
) -> tuple[list[str], str]:
    """Returns the members that may lack the revision in force, and why.

    A silent member counts until it is removed from the view: it may be cut
    off and go on with an older revision. Only a member that announced its
    leaving and fell silent has certainly stopped.
    """
    known: Mapping[str, Mapping[str, Any]] = dump["members"]
    newest = members.newest_revision().revision
    # Right after this node adopts a revision, heartbeats still speak of the
    # one before it.
    in_force = set(dump["in_force"]) if newest == holder.revision else set()
    waiting = sorted(
        node_id
        for node_id, member in known.items()
        if node_id not in in_force
        and not (member["leaving"] and not member["alive"])
    )
    if newest > holder.revision:
        return waiting, f"Revision {newest} is not in force here."
    if not dump["majority"]:
        return waiting, "This node does not hear most members."
    silent = [node_id for node_id in waiting if not known[node_id]["alive"]]
    if silent:
        return waiting, f"Silent members: {', '.join(silent)}."
    return waiting, "Some members lack the revision." if waiting else ""


def _availability_zone_rows(
    holder: configuration.ConfigurationHolder,
    members: membership.Membership,
    dump: Mapping[str, Any],
) -> list[dict[str, Any]]:
    topology = holder.current
    if topology is None:
        return []
    waiting, reason = _waiting_for(holder, members, dump)
    progress = verdict.Progress.GOING_ON if reason else verdict.Progress.DONE
    return [
        {
            "name": name,
            "region": spec.region,
            "state": "out" if spec.out else "in",
            "progress": progress.value,
            "waiting_for": ", ".join(waiting),
            "reason": reason,
        }
        for name, spec in sorted(topology.availability_zones.items())
    ]


def _rollout_rows(
    holder: configuration.ConfigurationHolder,
    rollouts: _rollouts.RolloutDriver,
) -> list[dict[str, Any]]:
    """Returns the document's rollouts by name, then removed ones by key."""
    topology = holder.current
    if topology is None:
        return []
    board = rollouts.board
    return [
        {
            "name": state.rollout,
            "state": state.state,
            "step": state.step,
            "share_pct": state.share_pct,
            "reason": state.reason,
        }
        for state in (*board.named_states(topology), *board.removed(topology))
    ]
