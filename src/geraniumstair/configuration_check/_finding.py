"""What a check reports."""

from collections.abc import Mapping
import dataclasses
import enum


class Severity(enum.Enum):
    """Whether a finding forbids sending the configuration."""

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"
    """A difference from the version in force, which is not a fault."""


class Section(enum.Enum):
    """The part of the configuration that a finding is about."""

    CONFIGURATION = "configuration"
    ROUTE = "route"
    SERVICE = "service"
    ACCOUNT = "account"
    LIMITS = "limits"


# Names in the file by section and by attribute of the model.
FieldNames = Mapping[Section, Mapping[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One finding.

    Attributes:
        severity: Whether it forbids sending the configuration.
        section: Part of the configuration.
        entry: Which route, service or account; empty for other sections.
        fields: Attributes of the model that it is about.
        message: What was found. Holds no key.
    """

    severity: Severity
    section: Section
    entry: str
    fields: tuple[str, ...]
    message: str
