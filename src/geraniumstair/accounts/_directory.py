"""Finds the account that a key belongs to."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import hashlib
import secrets

# 128 bits: no two keys of a site have the same digest.
_DIGEST_BYTES = 16
# Random for each process, so that nobody outside can choose keys by their
# digests, and the time of a lookup says nothing about the keys that exist.
_PROCESS_KEY = secrets.token_bytes(32)


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        name: Name that endpoints and reports know it by.
        priority: Replaces the priority of routes; None leaves it.
    """

    name: str
    priority: float | None = None


class AccountDirectory:
    """The accounts of one version of the configuration; immutable.

    Holds digests instead of keys, so that no dump or error can show a key. A
    lookup costs one digest and one access to a dictionary, however many keys
    there are and however close the presented key is to one of them.

    Args:
        accounts: Each account with its keys. If several accounts have the same
            key, it belongs to the first one.

    Attributes:
        shared_key_accounts: Names of the accounts with a key of an earlier one.
    """

    def __init__(
        self, accounts: Iterable[tuple[Account, Sequence[bytes]]]
    ) -> None:
        self._by_digest: dict[bytes, Account] = {}
        self._by_name: dict[str, Account] = {}
        shared = set()
        for account, keys in accounts:
            self._by_name.setdefault(account.name, account)
            for key in filter(None, keys):
                owner = self._by_digest.setdefault(_digest(key), account)
                if owner.name != account.name:
                    shared.add(account.name)
        self.shared_key_accounts = frozenset(shared)

    def find_by_key(self, key: bytes) -> Account | None:
        """Returns the account of a key; None if the key is unknown."""
        return self._by_digest.get(_digest(key))

    def find_by_name(self, name: str) -> Account | None:
        """Returns the account with a name; None if there is none."""
        return self._by_name.get(name)


def _digest(key: bytes) -> bytes:
    return hashlib.blake2b(
        key, key=_PROCESS_KEY, digest_size=_DIGEST_BYTES
    ).digest()
