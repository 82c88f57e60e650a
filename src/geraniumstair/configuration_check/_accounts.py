"""Faults of client accounts; findings name accounts, never keys."""

from collections.abc import Iterator
from collections.abc import Sequence

from geraniumstair.configuration_check import _finding
from geraniumstair.configuration_check import _model


def find_errors(
    accounts: Sequence[_model.Account],
) -> Iterator[_finding.Finding]:
    """Yields the errors of the accounts."""
    for account in accounts:
        # The name becomes the value of a header; nodes skip such accounts.
        if not account.name or not account.name.isprintable():
            yield _error(
                account.name, "name", "the name is empty or not printable"
            )
        if not account.keys:
            yield _error(account.name, "keys", "the account has no keys")
    for holders in _find_holders_of_shared_keys(accounts):
        first, *others = holders
        yield _error(
            first,
            "keys",
            "a key is also held by "
            + ", ".join(repr(other) for other in others),
        )


def _find_holders_of_shared_keys(
    accounts: Sequence[_model.Account],
) -> list[tuple[str, ...]]:
    """Returns each group of accounts that share a key, once."""
    holders: dict[str, dict[str, None]] = {}
    for account in accounts:
        for key in account.keys:
            holders.setdefault(key, {})[account.name] = None
    groups = {tuple(names) for names in holders.values() if len(names) > 1}
    return sorted(groups)


def _error(name: str, field: str, message: str) -> _finding.Finding:
    return _finding.Finding(
        _finding.Severity.ERROR,
        _finding.Section.ACCOUNT,
        name,
        (field,),
        message,
    )
