"""Refusals and exceptions that several packages use."""

import dataclasses

from geraniumstair._generated import codes


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Why a request was not answered.

    Attributes:
        code: Result code from `schema/result-codes.yaml`.
        detail: One sentence for the caller, without secrets or query text.
    """

    code: codes.Code
    detail: str

    @property
    def not_run(self) -> bool:
        """True only if no endpoint can have acted on the request."""
        return codes.INFO[self.code].not_run


class GeraniumstairError(Exception):
    """Base class of this project's exceptions."""


class WireError(GeraniumstairError):
    """A peer sent bytes that are not a valid message."""


class StreamClosedError(GeraniumstairError):
    """The peer stream is closed."""


class AuthenticationError(GeraniumstairError):
    """The peer did not prove that it holds the shared key."""


class SettingsError(GeraniumstairError):
    """The settings file cannot be used."""
