"""What one node knows about all rollouts."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

import msgspec

from geraniumstair import configuration
from geraniumstair import verdict
from geraniumstair._generated import messages

_ORDER = {"PENDING": 0, "GOING_ON": 1, "DONE": 2, "TAKEN_BACK": 3}


def _rank(state: messages.RolloutState) -> tuple[bool, int, int]:
    """Orders states, so that a late message never reverts a newer one.

    The verdict in the store comes last, so that all nodes agree in the end.
    Before it is known, a stop wins over every other state.
    """
    final = state.state in ("DONE", "TAKEN_BACK")
    return state.recorded and final, _ORDER[state.state], state.step


@dataclasses.dataclass(frozen=True, slots=True)
class _Claim:
    """What one rollout demands of its service's traffic."""

    start_s: float
    state: str
    share: verdict.VersionShare

    @property
    def order(self) -> tuple[bool, float]:
        """The started rollout with the latest start is in force.

        If none has started, the first one to start is.
        """
        if self.state == "PENDING":
            return False, -self.start_s
        return True, self.start_s

    def moves_like(self, other: "_Claim") -> bool:
        """Tells whether both move traffic between the same versions."""
        return (
            self.share.old_version == other.share.old_version
            and self.share.new_version == other.share.new_version
        )

    def blocked_version(self) -> str:
        """The version that gets nothing while another rollout is in force."""
        if self.state == "DONE":
            return self.share.old_version
        return self.share.new_version


class RolloutBoard:
    """The newest known state of each rollout."""

    def __init__(self) -> None:
        self._states: dict[str, messages.RolloutState] = {}

    def merge(self, state: messages.RolloutState) -> bool:
        """Adopts a state unless a newer one is known.

        Args:
            state: State from the store, the judge or another node.

        Returns:
            True if it was adopted.
        """
        known = self._states.get(state.rollout)
        if known is not None and _rank(state) <= _rank(known):
            return False
        self._states[state.rollout] = state
        return True

    def states(self) -> Sequence[messages.RolloutState]:
        """Returns all known states, by key of the rollout."""
        return [self._states[key] for key in sorted(self._states)]

    def state(self, rollout: str) -> messages.RolloutState | None:
        """Returns the known state of one rollout.

        Args:
            rollout: Key of the rollout.
        """
        return self._states.get(rollout)

    def named_states(
        self, topology: configuration.Topology
    ) -> Sequence[messages.RolloutState]:
        """Returns the states of the document's rollouts under their names."""
        named = []
        for name, rule in sorted(topology.rollouts.items()):
            state = self._states.get(rule.key)
            if state is not None:
                named.append(msgspec.structs.replace(state, rollout=name))
        return named

    def removed(
        self, topology: configuration.Topology
    ) -> Sequence[messages.RolloutState]:
        """Returns the states of rollouts that the document lacks."""
        keys = {rule.key for rule in topology.rollouts.values()}
        return [state for state in self.states() if state.rollout not in keys]

    def forget_obsolete(self, topology: configuration.Topology) -> None:
        """Forgets removed rollouts whose versions do not meet any more."""
        for state in self.removed(topology):
            versions = _versions(topology, state.service)
            if not {state.old_version, state.new_version} <= versions:
                del self._states[state.rollout]

    def shares(
        self, topology: configuration.Topology
    ) -> Sequence[verdict.VersionShare]:
        """Returns the share that is in force for each service.

        A rollout without a known state has not started: its share is 0. A
        removed one keeps its outcome until its versions do not meet any
        more, or until a rule for the same versions replaces it; if it was
        not done, all traffic goes to the old version.
        """
        claims: dict[str, list[_Claim]] = {}
        for rule in topology.rollouts.values():
            claims.setdefault(rule.service, []).append(self._claim(rule))
        for state in self.removed(topology):
            same = claims.setdefault(state.service, [])
            removed = _removed_claim(state)
            if not any(claim.moves_like(removed) for claim in same):
                same.append(removed)
        return [_in_force(claims[service]) for service in sorted(claims)]

    def _claim(self, rule: configuration.RolloutRule) -> _Claim:
        state = self._states.get(rule.key)
        decision = decision_of(state) if state else None
        share_pct = verdict.share_pct(rule, decision) if decision else 0.0
        share = verdict.VersionShare(
            rollout=rule.key,
            service=rule.service,
            old_version=rule.old_version,
            new_version=rule.new_version,
            share_pct=share_pct,
        )
        return _Claim(rule.start_s, state.state if state else "PENDING", share)


def _removed_claim(state: messages.RolloutState) -> _Claim:
    share = verdict.VersionShare(
        rollout=state.rollout,
        service=state.service,
        old_version=state.old_version,
        new_version=state.new_version,
        share_pct=100.0 if state.state == "DONE" else 0.0,
    )
    return _Claim(state.start_ms / 1000, state.state, share)


def _in_force(claims: Iterable[_Claim]) -> verdict.VersionShare:
    *others, current = sorted(claims, key=lambda claim: claim.order)
    blocked = {claim.blocked_version() for claim in others}
    own = {current.share.old_version, current.share.new_version}
    return dataclasses.replace(current.share, blocked=frozenset(blocked - own))


def _versions(topology: configuration.Topology, service: str) -> set[str]:
    return {
        endpoint.version
        for key, endpoints in topology.endpoints.items()
        if key.service == service
        for endpoint in endpoints
    }


def decision_of(state: messages.RolloutState) -> verdict.Decision:
    """Converts a state as sent into a decision."""
    progress = verdict.Progress(state.state)
    return verdict.Decision(progress, state.step, state.reason)


def state_of(
    rule: configuration.RolloutRule, decision: verdict.Decision, now_s: float
) -> messages.RolloutState:
    """Converts a decision into a state to be sent or stored.

    Args:
        rule: Rule of the rollout.
        decision: The decision.
        now_s: Time in s since 1970.
    """
    return messages.RolloutState(
        rollout=rule.key,
        state=decision.progress.value,
        step=decision.step,
        share_pct=verdict.share_pct(rule, decision),
        reason=decision.reason,
        updated_ms=int(now_s * 1000),
        recorded=False,
        service=rule.service,
        old_version=rule.old_version,
        new_version=rule.new_version,
        start_ms=int(rule.start_s * 1000),
    )
