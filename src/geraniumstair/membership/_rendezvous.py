"""Rendezvous hashing with cached rankings."""

import bisect
from collections.abc import Callable
from collections.abc import Iterable

import xxhash

_MAX_CACHED_PER_KEY = 8
_MIN_CACHED_PER_KEY = 5
# Each added member costs one hash for every cached key. After a larger change
# the cache is cleared instead, and each key is ranked on its next look-up.
_MAX_INCREMENTAL_CHANGES = 4


class Ranking:
    """Members ranked by rendezvous hash for each key, with a cache.

    The cache has only the best `_MAX_CACHED_PER_KEY` members of a key. Adding a
    member therefore costs one hash per cached key, and removing a member
    changes the rankings of few keys.
    """

    def __init__(self) -> None:
        self._members: dict[str, bytes] = {}
        self._seeds: dict[str, int] = {}
        self._cached_rankings: dict[str, list[tuple[int, str]]] = {}
        self._keys_by_member: dict[str, set[str]] = {}

    def set_members(self, node_ids: Iterable[str]) -> None:
        """Replaces the members and updates the cached rankings."""
        wanted = set(node_ids)
        if len(wanted ^ self._members.keys()) > _MAX_INCREMENTAL_CHANGES:
            self._members = {n: n.encode() for n in sorted(wanted)}
            self._keys_by_member = {n: set() for n in wanted}
            self._cached_rankings = {}
            return
        for node_id in sorted(self._members.keys() - wanted):
            self._remove(node_id)
        for node_id in sorted(wanted - self._members.keys()):
            self._add(node_id)

    def first(self, key: str, eligible: Callable[[str], bool]) -> str | None:
        """Returns the best eligible member for the key, or None."""
        for _, node_id in self._get_ranking(key):
            if eligible(node_id):
                return node_id
        found = self.best(key, 1, eligible)
        return found[0] if found else None

    def best(
        self, key: str, count: int, eligible: Callable[[str], bool]
    ) -> list[str]:
        """Returns up to `count` eligible members for the key, best first."""
        ranked = self._get_ranking(key)
        found = [n for _, n in ranked if eligible(n)][:count]
        if len(found) == count or len(ranked) == len(self._members):
            return found
        # Too few of the cached members are eligible, for example because an
        # availability zone is out.
        scores = [
            (self._compute_score(key, data), n)
            for n, data in self._members.items()
            if eligible(n)
        ]
        scores.sort(reverse=True)
        return [n for _, n in scores[:count]]

    def is_cached(self, key: str) -> bool:
        """Returns whether the key's ranking is cached."""
        return key in self._cached_rankings

    def precedes(self, key: str, one: str, other: str) -> bool:
        """Returns whether node `one` ranks before node `other` for the key."""
        first = (self._compute_score(key, one.encode()), one)
        return first > (self._compute_score(key, other.encode()), other)

    def _get_key_seed(self, key: str) -> int:
        seed = self._seeds.get(key)
        if seed is None:
            seed = xxhash.xxh3_64_intdigest(key.encode())
            self._seeds[key] = seed
        return seed

    def _compute_score(self, key: str, member: bytes) -> int:
        return xxhash.xxh3_64_intdigest(member, self._get_key_seed(key))

    def _get_ranking(self, key: str) -> list[tuple[int, str]]:
        ranked = self._cached_rankings.get(key)
        if ranked is None:
            ranked = self._rank_all(key)
        return ranked

    def _rank_all(self, key: str) -> list[tuple[int, str]]:
        scores = [
            (self._compute_score(key, d), n) for n, d in self._members.items()
        ]
        scores.sort(reverse=True)
        ranked = scores[:_MAX_CACHED_PER_KEY]
        self._cached_rankings[key] = ranked
        for _, node_id in ranked:
            self._keys_by_member[node_id].add(key)
        return ranked

    def _add(self, node_id: str) -> None:
        data = node_id.encode()
        count = len(self._members)
        self._members[node_id] = data
        self._keys_by_member[node_id] = set()
        seed_for = self._get_key_seed
        digest = xxhash.xxh3_64_intdigest
        for key, ranked in self._cached_rankings.items():
            entry = (digest(data, seed_for(key)), node_id)
            # After a removal, members that are not cached may rank between the
            # last cached member and the new one.
            if (not ranked or entry < ranked[-1]) and len(ranked) != count:
                continue
            bisect.insort(ranked, entry, key=lambda e: (-e[0], e[1]))
            self._keys_by_member[node_id].add(key)
            if len(ranked) > _MAX_CACHED_PER_KEY:
                self._keys_by_member[ranked.pop()[1]].discard(key)

    def _remove(self, node_id: str) -> None:
        del self._members[node_id]
        for key in self._keys_by_member.pop(node_id):
            ranked = [e for e in self._cached_rankings[key] if e[1] != node_id]
            self._cached_rankings[key] = ranked
            if len(ranked) < min(_MIN_CACHED_PER_KEY, len(self._members)):
                self._rank_all(key)
