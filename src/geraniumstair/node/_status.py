"""Builds the status of the site that operators see."""

from collections.abc import Mapping
from typing import Any

from geraniumstair import canary
from geraniumstair import configuration
from geraniumstair import membership
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
        members: Members with their states and revisions in force.
        rollouts: Rollouts with their states.
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
        "members": _build_member_rows(dump),
        "availability_zones": _build_availability_zone_rows(
            holder, members, dump
        ),
        "rollouts": _build_rollout_rows(holder, rollouts),
    }


def _build_member_rows(dump: Mapping[str, Any]) -> list[dict[str, Any]]:
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


def _list_lagging_members(
    holder: configuration.ConfigurationHolder,
    members: membership.Membership,
    dump: Mapping[str, Any],
) -> tuple[list[str], str]:
    """Returns members that might use an older revision, and the reason.

    A member without recent heartbeats is listed until it is removed from the
    view: it may be partitioned from this node and still use an older revision.
    Only a member that announced its leaving before its heartbeats ended has
    certainly stopped.
    """
    known_members: Mapping[str, Mapping[str, Any]] = dump["members"]
    newest = members.newest_revision().revision
    # Right after this node puts a revision in force, heartbeats still report
    # the previous one.
    in_force = set(dump["in_force"]) if newest == holder.revision else set()
    lagging = sorted(
        node_id
        for node_id, member in known_members.items()
        if node_id not in in_force
        and not (member["leaving"] and not member["alive"])
    )
    if newest > holder.revision:
        return lagging, f"Revision {newest} is not in force at this node."
    if not dump["majority"]:
        return lagging, "This node cannot reach a majority of its region."
    silent = [id_ for id_ in lagging if not known_members[id_]["alive"]]
    if silent:
        return lagging, f"Silent members: {', '.join(silent)}."
    return (
        lagging,
        "Some members do not use the revision yet." if lagging else "",
    )


def _build_availability_zone_rows(
    holder: configuration.ConfigurationHolder,
    members: membership.Membership,
    dump: Mapping[str, Any],
) -> list[dict[str, Any]]:
    topology = holder.current
    if topology is None:
        return []
    lagging, reason = _list_lagging_members(holder, members, dump)
    progress = canary.Progress.GOING_ON if reason else canary.Progress.DONE
    return [
        {
            "name": name,
            "region": spec.region,
            "state": "out" if spec.out else "in",
            "progress": progress.value,
            "waiting_for": ", ".join(lagging),
            "reason": reason,
        }
        for name, spec in sorted(topology.availability_zones.items())
    ]


def _build_rollout_rows(
    holder: configuration.ConfigurationHolder,
    rollouts: _rollouts.RolloutDriver,
) -> list[dict[str, Any]]:
    """Lists rollouts in the document by name, then removed ones by key."""
    topology = holder.current
    if topology is None:
        return []
    rollout_states = rollouts.rollout_states
    return [
        {
            "name": state.rollout,
            "state": state.state,
            "step": state.step,
            "share_pct": state.share_pct,
            "reason": state.reason,
        }
        for state in (
            *rollout_states.list_named_states(topology),
            *rollout_states.list_removed_states(topology),
        )
    ]
