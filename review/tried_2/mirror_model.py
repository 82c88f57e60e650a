"""Model of the mirror: nodes read, watch, and ask each other for changes.

Not a case: no run of real processes has shown what it finds. It plays random
orders of events on `geraniumstair.mirror`, and compares each mirror with the
store at the mirror's position. Run from the root of the repository, in the
environment of the tests:

    python -m review.tried_2.mirror_model 0 2000
"""

import random
import sys

from geraniumstair import mirror
from geraniumstair.mirror import _gossip

KEYS = [f"k{i}" for i in range(12)]
NODES = 4
STEPS = 400


class _Store:
    """Keys and the history of all changes."""

    def __init__(self) -> None:
        self.revision = 10
        self.items: dict[str, tuple[bytes, int]] = {}
        self.history: list[mirror.MirrorItem] = []

    def change(self, rng: random.Random) -> None:
        """Creates, changes or removes one or two keys."""
        self.revision += 1
        for key in rng.sample(KEYS, rng.choice([1, 1, 2])):
            if key in self.items and rng.random() < 0.45:
                del self.items[key]
                value = None
            else:
                value = f"v{self.revision}".encode()
                self.items[key] = (value, self.revision)
            self.history.append(mirror.MirrorItem(key, value, self.revision))

    def read_all(self) -> list[mirror.MirrorItem]:
        """Returns all items, as one page."""
        return [mirror.MirrorItem(k, *item) for k, item in self.items.items()]

    def find_stale(self, copy: mirror.Mirror) -> str:
        """Returns a key that is removed in the store and not in the mirror."""
        for key in KEYS:
            known = copy.get(key)
            if known is None:
                continue
            for change in self.history:
                removed = change.key == key and change.value is None
                if removed and known.revision < change.revision <= (
                    copy.position
                ):
                    return (
                        f"{key} of revision {known.revision} was removed "
                        f"at {change.revision}, and the mirror is complete "
                        f"up to {copy.position}"
                    )
        return ""


def _apply(copy: mirror.Mirror, changes: object) -> None:
    """Applies a reply as `MirrorGossip` does."""
    items = _gossip.decode_changes(changes)
    if items is None or changes.after > copy.position:
        return
    if not changes.after:
        copy.replace(items, changes.position)
    elif changes.position > changes.after:
        copy.apply(items, changes.position)


def play(seed: int) -> str:
    """Plays one order of events; returns what went wrong."""
    rng = random.Random(seed)
    store = _Store()
    copies = [mirror.Mirror() for _ in range(NODES)]
    replies: list[list[object]] = [[] for _ in range(NODES)]
    for step in range(STEPS):
        index = rng.randrange(NODES)
        copy = copies[index]
        kind = rng.random()
        if kind < 0.45:
            store.change(rng)
        elif kind < 0.55:
            copy.replace(store.read_all(), store.revision)
        elif kind < 0.7:
            if copy.position:
                copy.apply(store.history, store.revision)
        elif kind < 0.95:
            peer = copies[rng.randrange(NODES)]
            if peer is not copy and peer.position and not replies[index]:
                # The reply arrives later; the node's own watch goes on.
                replies[index].append(
                    _gossip.encode_changes(peer, copy.position)
                )
        if replies[index] and rng.random() < 0.5:
            _apply(copy, replies[index].pop())
        fault = store.find_stale(copy)
        if fault:
            return f"seed {seed}, step {step}, node {index}: {fault}"
    return ""


def main() -> None:
    """Plays the seeds from the first argument up to the second."""
    faults = [play(s) for s in range(int(sys.argv[1]), int(sys.argv[2]))]
    found = [fault for fault in faults if fault]
    print("\n".join(found[:10]))
    print(f"{len(found)} of {len(faults)} orders of events")


if __name__ == "__main__":
    main()
