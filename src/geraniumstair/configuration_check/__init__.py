"""Checks a configuration before it is sent to the store.

Operators use it through `python -m geraniumstair.platform.check`. All decisions
are pure functions of a plain model; an adapter fills the model from a file and
knows what its fields are called there.
"""

from geraniumstair.configuration_check._check import check
from geraniumstair.configuration_check._difference import compare
from geraniumstair.configuration_check._finding import FieldNames
from geraniumstair.configuration_check._finding import Finding
from geraniumstair.configuration_check._finding import Section
from geraniumstair.configuration_check._finding import Severity
from geraniumstair.configuration_check._model import Account
from geraniumstair.configuration_check._model import Configuration
from geraniumstair.configuration_check._model import Limits
from geraniumstair.configuration_check._model import Route
from geraniumstair.configuration_check._model import Service
from geraniumstair.configuration_check._model import WeightedService
from geraniumstair.configuration_check._report import render_line
from geraniumstair.configuration_check._report import render_object

__all__ = [
    "Account",
    "Configuration",
    "FieldNames",
    "Finding",
    "Limits",
    "Route",
    "Section",
    "Service",
    "Severity",
    "WeightedService",
    "check",
    "compare",
    "render_line",
    "render_object",
]
