"""The operators' HTTP application: JSON calls and forms.

`geraniumstair node` uses this package.
"""

from geraniumstair.console._application import build_operator_application
from geraniumstair.console._backend import ConfigurationAccess
from geraniumstair.console._backend import CurrentConfiguration
from geraniumstair.console._backend import OperatorBackend

__all__ = [
    "ConfigurationAccess",
    "CurrentConfiguration",
    "OperatorBackend",
    "build_operator_application",
]
