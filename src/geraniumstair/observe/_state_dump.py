"""The state of all components as one JSON object."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import msgspec

DumpFunction = Callable[[], Mapping[str, Any]]


class StateDump:
    """Registry of functions that return the state of components."""

    def __init__(self) -> None:
        self._dump_functions: dict[str, DumpFunction] = {}

    def register(self, component: str, dump: DumpFunction) -> None:
        """Adds a component.

        Args:
            component: Name in the JSON object.
            dump: Returns the state, without secrets or query text.

        Raises:
            ValueError: The name is already registered.
        """
        if component in self._dump_functions:
            raise ValueError(f"component {component} is already registered")
        self._dump_functions[component] = dump

    def collect(self) -> dict[str, Any]:
        """Returns the state by component name, in the order of the names.

        A component whose function fails is reported as `{"error": …}`, because
        the dump has to work while components are faulty.
        """
        return {
            name: self._collect_one(name)
            for name in sorted(self._dump_functions)
        }

    def _collect_one(self, component: str) -> Any:
        try:
            state = self._dump_functions[component]()
            return msgspec.to_builtins(state, str_keys=True)
        except Exception as error:
            return {"error": f"{type(error).__name__}: {error}"}

    def render(self) -> bytes:
        """Returns the state as indented JSON."""
        return msgspec.json.format(msgspec.json.encode(self.collect()))
