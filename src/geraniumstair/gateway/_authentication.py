"""Decides whether a caller's key admits its request."""

import dataclasses
import logging
import math
from typing import Protocol

from geraniumstair import accounts
from geraniumstair import forward
from geraniumstair import observe
from geraniumstair import routing

_LOG = logging.getLogger(__name__)
# Callers retry on a new connection, which leads to another node. That node is
# likely to know the configuration.
RETRY_AFTER_STALE_S = 0.1


class KeyCodec(Protocol):
    """Reads keys from callers' requests and names accounts to endpoints."""

    def read_key(self, request: forward.CallerRequest) -> bytes | None:
        """Returns the key; None if it is missing, malformed or ambiguous."""
        ...

    def set_account(
        self, request: forward.CallerRequest, name: str
    ) -> forward.CallerRequest:
        """Returns the request without its key, with the account's name.

        Args:
            request: The request as the caller sent it.
            name: The account that the endpoints are told; empty for none.
        """
        ...


class Authenticator:
    """Admits requests by the accounts of the configuration in force.

    Args:
        codec: Reads keys from requests.
        check: Decides whether this node may judge keys; None lets it always.
        metrics: Counts requests; None counts them privately.
    """

    def __init__(
        self,
        codec: KeyCodec,
        check: accounts.KeyCheck | None = None,
        metrics: accounts.AccountMetrics | None = None,
    ) -> None:
        self._codec = codec
        self._check = check
        self._metrics = metrics or accounts.AccountMetrics()

    def admit(
        self,
        request: forward.CallerRequest,
        route: routing.Route,
        table: routing.RouteTable,
    ) -> forward.CallerRequest | forward.Refused:
        """Returns the request to forward, or why it is refused.

        Args:
            request: The request as the caller sent it.
            route: Its route.
            table: The version of the configuration that holds the route.
        """
        if table.accounts is None:
            return request
        if route.keyless:
            return self._codec.set_account(request, "")
        # Before the key: a node that may have missed a configuration cannot
        # say that a key is unknown either.
        check = self._check
        if check is not None and not check.is_allowed:
            return self._refuse_stale(request, route, check)
        key = self._codec.read_key(request)
        account = table.accounts.find_by_key(key) if key else None
        if account is None:
            return self._refuse_key(request, route, table, key)
        self._metrics.requests.labels("accepted").inc()
        return dataclasses.replace(
            self._codec.set_account(request, account.name),
            account=account.name,
            priority=account.priority,
        )

    def _refuse_stale(
        self,
        request: forward.CallerRequest,
        route: routing.Route,
        check: accounts.KeyCheck,
    ) -> forward.Refused:
        self._metrics.requests.labels("stale").inc()
        age_s = check.freshness.age_s
        _LOG.info(
            "gateway: refused a request: a newer configuration may exist",
            extra=observe.fields(
                request_id=request.request_id.decode("latin-1"),
                route=route.name,
                age_s=round(age_s, 3) if math.isfinite(age_s) else None,
                usable_age_s=check.limits.usable_age_s,
                last_source=check.freshness.source.value,
            ),
        )
        return forward.Refused(
            forward.RefusalReason.ACCOUNTS_STALE,
            True,
            RETRY_AFTER_STALE_S,
            "this node may have missed a newer configuration",
        )

    def _refuse_key(
        self,
        request: forward.CallerRequest,
        route: routing.Route,
        table: routing.RouteTable,
        key: bytes | None,
    ) -> forward.Refused:
        self._metrics.requests.labels("unknown_key").inc()
        _LOG.info(
            "gateway: refused a request: no account has its key",
            extra=observe.fields(
                request_id=request.request_id.decode("latin-1"),
                route=route.name,
                version=table.version,
                has_valid_form=key is not None,
            ),
        )
        return forward.Refused(
            forward.RefusalReason.UNKNOWN_KEY,
            True,
            None,
            "no account has the key of the request",
        )
