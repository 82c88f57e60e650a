"""What a configuration changes in the version in force."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
from typing import Any
from typing import TypeVar

from geraniumstair.configuration_check import _finding
from geraniumstair.configuration_check import _model

_Entry = TypeVar("_Entry", _model.Route, _model.Service, _model.Account)
_KEYS = "keys"


def compare(
    in_force: _model.Configuration, proposed: _model.Configuration
) -> Sequence[_finding.Finding]:
    """Returns the differences; a warning if nodes ignore the proposed one."""
    return [
        *_compare_versions(in_force.version, proposed.version),
        *_compare_entries(
            _finding.Section.ROUTE,
            in_force.routes,
            proposed.routes,
            lambda route: route.match_key,
            lambda route: route.label,
        ),
        *_compare_entries(
            _finding.Section.SERVICE,
            in_force.services,
            proposed.services,
            lambda service: service.name,
            lambda service: service.name,
        ),
        *_compare_fields(
            _finding.Section.LIMITS, "", in_force.limits, proposed.limits
        ),
        *_compare_need_of_keys(in_force.accounts, proposed.accounts),
        *_compare_entries(
            _finding.Section.ACCOUNT,
            in_force.accounts or (),
            proposed.accounts or (),
            lambda account: account.name,
            lambda account: account.name,
        ),
    ]


def _compare_versions(old: int, new: int) -> Iterator[_finding.Finding]:
    # Running nodes keep the version in force unless the number rises; a node
    # that starts later takes whichever the store holds.
    if new <= old:
        yield _finding.Finding(
            _finding.Severity.WARNING,
            _finding.Section.CONFIGURATION,
            "",
            ("version",),
            f"{new} is not greater than {old}, the version in force",
        )


def _compare_need_of_keys(
    old: tuple[_model.Account, ...] | None,
    new: tuple[_model.Account, ...] | None,
) -> Iterator[_finding.Finding]:
    if (old is None) != (new is None):
        yield _change(
            _finding.Section.CONFIGURATION,
            "",
            ("accounts",),
            "callers no longer need a key"
            if new is None
            else "callers need a key from now on",
        )


def _compare_entries(
    section: _finding.Section,
    old_entries: Iterable[_Entry],
    new_entries: Iterable[_Entry],
    identify: Callable[[_Entry], Hashable],
    label: Callable[[_Entry], str],
) -> Iterator[_finding.Finding]:
    old_by_id = _index(old_entries, identify)
    new_by_id = _index(new_entries, identify)
    for entry_id, old in old_by_id.items():
        if entry_id not in new_by_id:
            yield _change(section, label(old), (), "removed")
    for entry_id, new in new_by_id.items():
        if entry_id in old_by_id:
            yield from _compare_fields(
                section, label(new), old_by_id[entry_id], new
            )
        else:
            yield _change(section, label(new), (), "added")


def _index(
    entries: Iterable[_Entry], identify: Callable[[_Entry], Hashable]
) -> dict[tuple[Hashable, int], _Entry]:
    """Returns the entries by identity and by the number of its repetition."""
    counts: dict[Hashable, int] = {}
    index = {}
    for entry in entries:
        identity = identify(entry)
        counts[identity] = counts.get(identity, 0) + 1
        index[identity, counts[identity]] = entry
    return index


def _compare_fields(
    section: _finding.Section, label: str, old: Any, new: Any
) -> Iterator[_finding.Finding]:
    for field in dataclasses.fields(new):
        old_value = getattr(old, field.name)
        new_value = getattr(new, field.name)
        if old_value == new_value:
            continue
        if field.name == _KEYS:
            message = (
                f"{len(new_value - old_value)} added, "
                f"{len(old_value - new_value)} removed"
            )
        else:
            message = f"{_show(old_value)} -> {_show(new_value)}"
        yield _change(section, label, (field.name,), message)


def _show(value: Any) -> str:
    if isinstance(value, tuple):
        parts = [repr(p) if isinstance(p, str) else str(p) for p in value]
        return ", ".join(parts) or "none"
    return "none" if value is None else repr(value)


def _change(
    section: _finding.Section,
    entry: str,
    fields: tuple[str, ...],
    message: str,
) -> _finding.Finding:
    return _finding.Finding(
        _finding.Severity.CHANGE, section, entry, fields, message
    )
