"""All checks of one configuration."""

from collections.abc import Sequence

from geraniumstair.configuration_check import _accounts
from geraniumstair.configuration_check import _contradictions
from geraniumstair.configuration_check import _finding
from geraniumstair.configuration_check import _model
from geraniumstair.configuration_check import _routes
from geraniumstair.configuration_check import _unmatched


def check(
    configuration: _model.Configuration,
) -> Sequence[_finding.Finding]:
    """Returns the errors and warnings of a configuration."""
    return [
        *_routes.find_errors(configuration),
        *_accounts.find_errors(configuration.accounts or ()),
        *_unmatched.find_unmatched(configuration),
        *_contradictions.find_contradictions(configuration),
    ]
