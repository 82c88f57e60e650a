"""Holds the configuration in force at this node."""

import logging

import result
import trio

from geraniumstair._generated import messages
from geraniumstair.configuration import _record
from geraniumstair.configuration import _topology

_logger = logging.getLogger(__name__)


class ConfigurationHolder:
    """Holds the newest valid configuration; its revision never decreases."""

    def __init__(self) -> None:
        # The document itself is not kept: its models take several times the
        # memory of the compressed record.
        self._record: messages.ConfigurationRecord | None = None
        self._topology: _topology.Topology | None = None
        self._changed = trio.Event()

    @property
    def current(self) -> _topology.Topology | None:
        """The topology in force, or None before the first one."""
        return self._topology

    @property
    def record(self) -> messages.ConfigurationRecord | None:
        """The record in force, or None before the first one."""
        return self._record

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first one."""
        return 0 if self._record is None else self._record.revision

    def adopt(self, record: messages.ConfigurationRecord) -> bool:
        """Validates a record and puts it in force if it is newer.

        Args:
            record: Record from the store or a peer.

        Returns:
            Whether the record is now in force.
        """
        if record.revision <= self.revision:
            return False
        indexed = _record.index_record(record)
        if isinstance(indexed, result.Err):
            _logger.error(
                "configuration: Revision %d is not valid: %s",
                record.revision,
                indexed.err_value,
            )
            return False
        return self.apply_indexed(indexed.ok_value)

    def apply_indexed(
        self, configuration: _record.IndexedConfiguration
    ) -> bool:
        """Puts a validated configuration in force if it is newer.

        Args:
            configuration: The record and its topology.

        Returns:
            Whether the configuration is now in force.
        """
        if configuration.record.revision <= self.revision:
            return False
        self._record = configuration.record
        self._topology = configuration.topology
        changed = self._changed
        self._changed = trio.Event()
        changed.set()
        _logger.info(
            "configuration: Revision %d is in force.",
            configuration.record.revision,
        )
        return True

    async def wait_for_newer_revision(
        self, revision: int
    ) -> _topology.Topology:
        """Waits until a revision greater than the given one is in force."""
        while self._topology is None or self.revision <= revision:
            await self._changed.wait()
        return self._topology
