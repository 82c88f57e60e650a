"""The operators' HTTP application: JSON calls and forms.

Used by the product's own interface (`geraniumstair node`).
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
