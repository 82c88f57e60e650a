"""Finds out whether an endpoint that closed connections has ended."""

from collections.abc import Callable
import dataclasses
import logging

import trio

from geraniumstair import discovery
from geraniumstair.forward import _call
from geraniumstair.forward import _link

_LOG = logging.getLogger(__name__)
# Limit of the check whether an endpoint that closed connections still accepts
# new ones. One that has ended refuses them at once.
END_CHECK_TIMEOUT_S = 0.02


class EndCheck:
    """Holds the replies of lost calls until it is known what lost them.

    A request that ends each endpoint must not be repeated, but one whose answer
    was lost may be.

    Args:
        factory: Opens connections.
        deliver: Called with each call and its reply after the check.
    """

    def __init__(
        self,
        factory: _link.LinkFactory,
        deliver: Callable[[_call.Call, _call.Reply], None],
    ) -> None:
        self._factory = factory
        self._deliver = deliver
        self._lost_calls: list[tuple[_call.Call, _call.Reply]] = []

    def add(self, call: _call.Call, reply: _call.Reply) -> bool:
        """Adds a lost call; returns whether a check has to be started."""
        self._lost_calls.append((call, reply))
        return len(self._lost_calls) == 1

    async def run(self, entry: discovery.EndpointEntry) -> _link.Link | None:
        """Connects to the endpoint and delivers the replies of its lost calls.

        Returns:
            The new connection; None if there is none.
        """
        link: _link.Link | None = None
        ended = False
        try:
            with trio.move_on_after(END_CHECK_TIMEOUT_S):
                link = await self._factory.connect(entry)
        except ConnectionRefusedError:
            ended = True
        except OSError as error:
            _LOG.info(
                "forward: cannot connect again to endpoint %s of %s: %s",
                entry.endpoint_id,
                entry.service,
                error,
            )
        finally:
            lost_calls, self._lost_calls = self._lost_calls, []
            for call, reply in lost_calls:
                call.instance_name = f"{call.endpoint_id}@{entry.started_ms}"
                self._deliver(
                    call, dataclasses.replace(reply, endpoint_ended=ended)
                )
        return link
