"""Checks names, references and rollout rules beyond the schema."""

from collections.abc import Iterable
import ipaddress
import itertools

from geraniumstair._generated import codes
from geraniumstair._generated import document as document_models
from geraniumstair.configuration import _fault
from geraniumstair.configuration import _yaml_reader

MAX_FIRST_STEP_PCT = 5.0


class _Checker:
    """Collects the faults of one document."""

    def __init__(
        self, document: document_models.Document, tree: _yaml_reader.Tree
    ) -> None:
        self._document = document
        self._tree = tree
        self._zones = {z.name for z in document.availability_zones}
        self._endpoint_names: dict[str, int] = {}
        self._addresses: dict[tuple[str, int], int] = {}
        self.faults: list[_fault.Fault] = []

    def check_document(self) -> None:
        """Checks the whole document."""
        document = self._document
        self._check_unique_names("region", document.regions, ("regions",))
        self._check_unique_names(
            "availability zone",
            document.availability_zones,
            ("availability_zones",),
        )
        self._check_unique_names(
            "subsidiary", document.subsidiaries, ("subsidiaries",)
        )
        self._check_unique_names("rollout", document.rollouts, ("rollouts",))
        self._check_zones()
        for index, subsidiary in enumerate(document.subsidiaries):
            self._check_subsidiary(subsidiary, ("subsidiaries", index))
        for index in range(len(document.rollouts)):
            self._check_rollout(index)
        self._check_overlaps()

    def _report(self, code: codes.Code, path: _fault.Path, detail: str) -> None:
        if len(self.faults) < _fault.MAX_FAULTS:
            self.faults.append(
                _fault.Fault(
                    code,
                    _fault.format_path(path),
                    self._tree.line(path),
                    detail,
                )
            )

    def _check_unique_names(
        self,
        kind: str,
        items: Iterable[object],
        path: tuple[str | int, ...],
        lines_by_name: dict[str, int] | None = None,
    ) -> dict[str, int]:
        """Checks that the names of items are unique.

        Args:
            kind: Kind of the items, for the detail of a fault.
            items: The items.
            path: Path of the items.
            lines_by_name: Lines of names that are already used; extended with
                the names of the items.

        Returns:
            The lines of all names, from 1.
        """
        lines = {} if lines_by_name is None else lines_by_name
        for index, item in enumerate(items):
            name = str(getattr(item, "name", ""))
            self._check_unique_name(kind, name, (*path, index, "name"), lines)
        return lines

    def _check_unique_name(
        self,
        kind: str,
        name: str,
        path: _fault.Path,
        lines: dict[str, int],
    ) -> None:
        if name in lines:
            self._report(
                codes.Code.DUPLICATE_NAME,
                path,
                f"The {kind} name {_fault.quote(name)} is already used on line "
                f"{lines[name]}.",
            )
            return
        lines[name] = self._tree.line(path)

    def _check_zones(self) -> None:
        regions = {region.name for region in self._document.regions}
        for index, zone in enumerate(self._document.availability_zones):
            if zone.region not in regions:
                self._report(
                    codes.Code.UNKNOWN_REFERENCE,
                    ("availability_zones", index, "region"),
                    f"No region is named {zone.region}.",
                )

    def _check_subsidiary(
        self,
        subsidiary: document_models.Subsidiary,
        path: tuple[str | int, ...],
    ) -> None:
        # A search request names a service or a service set in the same field,
        # so a service and a set cannot share a name.
        names = self._check_unique_names(
            "service", subsidiary.services, (*path, "services")
        )
        services = frozenset(names)
        self._check_unique_names(
            "service or service set",
            subsidiary.service_sets,
            (*path, "service_sets"),
            names,
        )
        for index, service in enumerate(subsidiary.services):
            self._check_service(service, (*path, "services", index))
        for index, service_set in enumerate(subsidiary.service_sets):
            self._check_service_set(
                service_set, services, (*path, "service_sets", index)
            )

    def _check_service_set(
        self,
        service_set: document_models.ServiceSet,
        services: frozenset[str],
        path: tuple[str | int, ...],
    ) -> None:
        lines: dict[str, int] = {}
        for index, name in enumerate(service_set.services):
            member_path = (*path, "services", index)
            self._check_unique_name("member", name, member_path, lines)
            if name not in services:
                self._report(
                    codes.Code.UNKNOWN_REFERENCE,
                    member_path,
                    "The subsidiary has no service named "
                    f"{_fault.quote(name)}.",
                )

    def _check_service(
        self,
        service: document_models.Service,
        path: tuple[str | int, ...],
    ) -> None:
        is_explicit = "soft_deadline_ms" in service.model_fields_set
        if (
            is_explicit
            and service.soft_deadline_ms > service.default_deadline_ms
        ):
            self._report(
                codes.Code.INVALID_VALUE,
                (*path, "soft_deadline_ms"),
                "The soft deadline is after the default deadline.",
            )
        self._check_unique_names("shard", service.shards, (*path, "shards"))
        for index, shard in enumerate(service.shards):
            for endpoint_index, endpoint in enumerate(shard.endpoints):
                self._check_endpoint(
                    endpoint,
                    (*path, "shards", index, "endpoints", endpoint_index),
                )

    def _check_endpoint(
        self,
        endpoint: document_models.Endpoint,
        path: tuple[str | int, ...],
    ) -> None:
        # Metrics, rollout evidence and answers name endpoints without their
        # shard, so the name is unique in the whole document.
        self._check_unique_name(
            "endpoint", endpoint.name, (*path, "name"), self._endpoint_names
        )
        if endpoint.availability_zone not in self._zones:
            self._report(
                codes.Code.UNKNOWN_REFERENCE,
                (*path, "availability_zone"),
                f"No availability zone is named {endpoint.availability_zone}.",
            )
        try:
            address = ipaddress.ip_address(endpoint.address)
        except ValueError:
            self._report(
                codes.Code.INVALID_VALUE,
                (*path, "address"),
                f"{endpoint.address} is not an IP address.",
            )
            return
        key = (address.compressed, endpoint.port)
        if key in self._addresses:
            self._report(
                codes.Code.DUPLICATE_NAME,
                (*path, "port"),
                f"Address {endpoint.address} port {endpoint.port} is already "
                f"used on line {self._addresses[key]}.",
            )
            return
        self._addresses[key] = self._tree.line((*path, "port"))

    def _check_rollout(self, index: int) -> None:
        rollout = self._document.rollouts[index]
        path = ("rollouts", index)
        if rollout.start_utc >= rollout.done_by_utc:
            self._report(
                codes.Code.INVALID_VALUE,
                (*path, "done_by_utc"),
                "The rollout must start before its done-by time.",
            )
        self._check_steps(rollout, path)
        self._check_versions(rollout, path)

    def _check_steps(
        self, rollout: document_models.Rollout, path: tuple[str | int, ...]
    ) -> None:
        steps = rollout.steps_pct
        path = (*path, "steps_pct")
        if steps[0] <= 0 or steps[0] > MAX_FIRST_STEP_PCT:
            self._report(
                codes.Code.INVALID_VALUE,
                (*path, 0),
                "The first step must be above 0 and at most "
                f"{MAX_FIRST_STEP_PCT:g} per cent.",
            )
        for step_index in range(1, len(steps)):
            if steps[step_index] <= steps[step_index - 1]:
                self._report(
                    codes.Code.INVALID_VALUE,
                    (*path, step_index),
                    "Each step must be greater than the one before.",
                )
        if steps[-1] != 100:
            self._report(
                codes.Code.INVALID_VALUE,
                (*path, len(steps) - 1),
                "The last step must be 100 per cent.",
            )

    def _find_service(
        self, rollout: document_models.Rollout, path: tuple[str | int, ...]
    ) -> document_models.Service | None:
        """Returns the rollout's service, or None after reporting a fault."""
        for subsidiary in self._document.subsidiaries:
            if subsidiary.name != rollout.subsidiary:
                continue
            for service in subsidiary.services:
                if service.name == rollout.service:
                    return service
            self._report(
                codes.Code.UNKNOWN_REFERENCE,
                (*path, "service"),
                f"The subsidiary has no service named {rollout.service}.",
            )
            return None
        self._report(
            codes.Code.UNKNOWN_REFERENCE,
            (*path, "subsidiary"),
            f"No subsidiary is named {rollout.subsidiary}.",
        )
        return None

    def _check_versions(
        self, rollout: document_models.Rollout, path: tuple[str | int, ...]
    ) -> None:
        if rollout.old_version == rollout.new_version:
            self._report(
                codes.Code.INVALID_VALUE,
                (*path, "new_version"),
                "The old and the new version are the same.",
            )
        service = self._find_service(rollout, path)
        if service is None:
            return
        versions = {
            endpoint.version
            for shard in service.shards
            for endpoint in shard.endpoints
        }
        for field in ("old_version", "new_version"):
            version = getattr(rollout, field)
            if version not in versions:
                self._report(
                    codes.Code.UNKNOWN_REFERENCE,
                    (*path, field),
                    "No endpoint of the service has version "
                    f"{_fault.quote(version)}.",
                )

    def _check_overlaps(self) -> None:
        rollouts = enumerate(self._document.rollouts)
        for (_, first), (index, second) in itertools.combinations(rollouts, 2):
            if (first.subsidiary, first.service) != (
                second.subsidiary,
                second.service,
            ):
                continue
            if (
                first.start_utc < second.done_by_utc
                and second.start_utc < first.done_by_utc
            ):
                self._report(
                    codes.Code.INVALID_VALUE,
                    ("rollouts", index),
                    "A service has one rollout at a time; this one overlaps "
                    f"with {first.name}.",
                )


def check(
    document: document_models.Document, tree: _yaml_reader.Tree
) -> list[_fault.Fault]:
    """Returns the faults of a document that fits the schema.

    Args:
        document: The document.
        tree: Positions of the document's values.

    Returns:
        At most `MAX_FAULTS` faults of names, references and rollout rules.
    """
    checker = _Checker(document, tree)
    checker.check_document()
    return checker.faults
