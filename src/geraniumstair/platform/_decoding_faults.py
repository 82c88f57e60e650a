"""Lists the faults of a configuration file that cannot be decoded.

Decoding ends at the first fault. An operator who corrects a file wants to know
one fault of each entry at once.
"""

from collections.abc import Iterator

import msgspec

from geraniumstair.platform import _decoder

# Fields of the configuration that are lists, with the type of an entry.
_ENTRY_TYPES: dict[str, type[msgspec.Struct]] = {
    "Routes": _decoder.Route,
    "Services": _decoder.Service,
    "Tenants": _decoder.Tenant,
}
_NO_ENTRIES = msgspec.Raw(b"[]")


def list_faults(value: bytes) -> list[str]:
    """Returns a text for each fault, without values of the file.

    Args:
        value: Contents of a file.
    """
    try:
        fields = _decoder.decode_json(value, dict[str, msgspec.Raw])
    except ValueError as error:
        return [str(error)]
    faults: list[str] = []
    for name, entry_type in _ENTRY_TYPES.items():
        if name in fields and bytes(fields[name]) != b"null":
            faults += _find_entry_faults(name, fields[name], entry_type)
            fields[name] = _NO_ENTRIES
    try:
        _decoder.decode_json(msgspec.json.encode(fields), _decoder.Config)
    except ValueError as error:
        faults.append(str(error))
    return faults


def _find_entry_faults(
    name: str, value: msgspec.Raw, entry_type: type[msgspec.Struct]
) -> Iterator[str]:
    try:
        entries = _decoder.decode_json(bytes(value), list[msgspec.Raw])
    except ValueError as error:
        yield f"{name}: {error}"
        return
    for index, entry in enumerate(entries):
        try:
            _decoder.decode_json(bytes(entry), entry_type)
        except ValueError as error:
            yield f"{name}[{index}]: {error}"
