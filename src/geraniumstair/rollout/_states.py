"""A node's view of the states of all rollouts."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

import msgspec

from geraniumstair import canary
from geraniumstair import configuration
from geraniumstair._generated import messages

_STATE_ORDER = {"PENDING": 0, "GOING_ON": 1, "DONE": 2, "TAKEN_BACK": 3}


def _rank_state(state: messages.RolloutState) -> tuple[bool, int, int]:
    """Returns the sort key by which a state replaces another one.

    A delayed message must not replace a newer state. The final state recorded
    in the store has the highest rank, so that all nodes converge on it. Until
    it is known, `TAKEN_BACK` replaces every other state.
    """
    final = state.state in ("DONE", "TAKEN_BACK")
    return state.recorded and final, _STATE_ORDER[state.state], state.step


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    """A rollout and the traffic share that it sets if it is in force."""

    start_s: float
    state: str
    share: canary.VersionShare

    @property
    def precedence(self) -> tuple[bool, float]:
        """Sort key; of the rollouts of a service the greatest is in force.

        It is the latest one that has started, or the earliest one if none
        has started.
        """
        if self.state == "PENDING":
            return False, -self.start_s
        return True, self.start_s

    def has_same_versions(self, other: "_Candidate") -> bool:
        """Returns True if both move traffic between the same versions."""
        return (
            self.share.old_version == other.share.old_version
            and self.share.new_version == other.share.new_version
        )

    def select_blocked_version(self) -> str:
        """Returns the version to block while another rollout is in force."""
        if self.state == "DONE":
            return self.share.old_version
        return self.share.new_version


class RolloutStates:
    """The newest known state of each rollout, by the rollout's key."""

    def __init__(self) -> None:
        self._states: dict[str, messages.RolloutState] = {}

    def merge(self, state: messages.RolloutState) -> bool:
        """Stores a state unless a newer one is known.

        Args:
            state: State from the store, this node or another node.

        Returns:
            True if the state was stored.
        """
        known = self._states.get(state.rollout)
        if known is not None and _rank_state(state) <= _rank_state(known):
            return False
        self._states[state.rollout] = state
        return True

    def list_states(self) -> Sequence[messages.RolloutState]:
        """Returns all known states, sorted by the rollout's key."""
        return [self._states[key] for key in sorted(self._states)]

    def find_state(self, rollout: str) -> messages.RolloutState | None:
        """Returns the known state of a rollout, or None.

        Args:
            rollout: Key of the rollout.
        """
        return self._states.get(rollout)

    def list_named_states(
        self, topology: configuration.Topology
    ) -> Sequence[messages.RolloutState]:
        """Returns the states of the document's rollouts, by name, not key."""
        named = []
        for name, rule in sorted(topology.rollouts.items()):
            state = self._states.get(rule.key)
            if state is not None:
                named.append(msgspec.structs.replace(state, rollout=name))
        return named

    def list_removed_states(
        self, topology: configuration.Topology
    ) -> Sequence[messages.RolloutState]:
        """Returns the states of rollouts that are not in the document."""
        keys = {rule.key for rule in topology.rollouts.values()}
        return [
            state for state in self.list_states() if state.rollout not in keys
        ]

    def drop_obsolete(self, topology: configuration.Topology) -> None:
        """Drops removed rollouts with a version that no endpoint runs."""
        for state in self.list_removed_states(topology):
            versions = _list_endpoint_versions(topology, state.service)
            if not {state.old_version, state.new_version} <= versions:
                del self._states[state.rollout]

    def compute_shares(
        self, topology: configuration.Topology
    ) -> Sequence[canary.VersionShare]:
        """Returns the share that is in force for each service.

        A rollout without a known state has not started: its share is 0. A
        rollout that was removed from the document keeps its outcome until no
        endpoints of one of its versions are left, or until a rule for the
        same versions replaces it. If the removed rollout was not complete,
        all traffic goes to the old version.
        """
        candidates: dict[str, list[_Candidate]] = {}
        for rule in topology.rollouts.values():
            candidates.setdefault(rule.service, []).append(
                self._build_candidate(rule)
            )
        for state in self.list_removed_states(topology):
            service_candidates = candidates.setdefault(state.service, [])
            removed = _build_removed_candidate(state)
            if not any(
                candidate.has_same_versions(removed)
                for candidate in service_candidates
            ):
                service_candidates.append(removed)
        return [
            _select_share(candidates[service]) for service in sorted(candidates)
        ]

    def _build_candidate(self, rule: configuration.RolloutRule) -> _Candidate:
        state = self._states.get(rule.key)
        decision = to_decision(state) if state else None
        share_pct = (
            canary.compute_max_share_pct(rule, decision) if decision else 0.0
        )
        share = canary.VersionShare(
            rollout=rule.key,
            service=rule.service,
            old_version=rule.old_version,
            new_version=rule.new_version,
            share_pct=share_pct,
        )
        return _Candidate(
            rule.start_s, state.state if state else "PENDING", share
        )


def _build_removed_candidate(state: messages.RolloutState) -> _Candidate:
    share = canary.VersionShare(
        rollout=state.rollout,
        service=state.service,
        old_version=state.old_version,
        new_version=state.new_version,
        share_pct=100.0 if state.state == "DONE" else 0.0,
    )
    return _Candidate(state.start_ms / 1000, state.state, share)


def _select_share(candidates: Iterable[_Candidate]) -> canary.VersionShare:
    *others, current = sorted(
        candidates, key=lambda candidate: candidate.precedence
    )
    blocked = {candidate.select_blocked_version() for candidate in others}
    current_versions = {current.share.old_version, current.share.new_version}
    return dataclasses.replace(
        current.share, blocked=frozenset(blocked - current_versions)
    )


def _list_endpoint_versions(
    topology: configuration.Topology, service: str
) -> set[str]:
    return {
        endpoint.version
        for key, endpoints in topology.endpoints.items()
        if key.service == service
        for endpoint in endpoints
    }


def to_decision(state: messages.RolloutState) -> canary.Decision:
    """Converts the message form of a state into a decision."""
    progress = canary.Progress(state.state)
    return canary.Decision(progress, state.step, state.reason)


def to_state_message(
    rule: configuration.RolloutRule, decision: canary.Decision, now_s: float
) -> messages.RolloutState:
    """Converts a decision into the message form that is sent and stored.

    Args:
        rule: Rule of the rollout.
        decision: The decision.
        now_s: Time in s since 1970.
    """
    return messages.RolloutState(
        rollout=rule.key,
        state=decision.progress.value,
        step=decision.step,
        share_pct=canary.compute_max_share_pct(rule, decision),
        reason=decision.reason,
        updated_ms=int(now_s * 1000),
        recorded=False,
        service=rule.service,
        old_version=rule.old_version,
        new_version=rule.new_version,
        start_ms=int(rule.start_s * 1000),
    )
