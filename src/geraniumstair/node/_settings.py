"""Loads a node's settings file."""

from collections.abc import Sequence
import pathlib

import result

from geraniumstair import configuration
from geraniumstair._generated import codes
from geraniumstair._generated import settings as settings_models


def load_settings(
    path: str | pathlib.Path,
) -> result.Result[settings_models.Settings, Sequence[configuration.Fault]]:
    """Reads and validates a settings file.

    Args:
        path: A YAML file.

    Returns:
        The settings, or the faults by line. The faults contain no values,
        because the file holds secrets.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        fault = configuration.Fault(
            codes.Code.NOT_FOUND,
            "",
            1,
            f"The settings file cannot be read: {error.strerror}.",
        )
        return result.Err([fault])
    parsed = configuration.parse_model(text, settings_models.Settings)
    if isinstance(parsed, result.Err):
        return parsed
    return result.Ok(parsed.ok_value[0])
