"""Commands of operators to a running dispatcher: detach and attach an endpoint, INFO."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from crowpier import interface as api
from rushhitch.control.commands import CommandRefused
from rushhitch.control.detached import DetachedEndpoints
from rushhitch.core.node import Node

log = logging.getLogger(__name__)


class OperatorCommands:
    """Carries out the commands on one node."""

    def __init__(self, node: Node) -> None:
        self.node = node

    def detach(self, endpoint: str) -> None:
        """Ban the endpoint. Raises `CommandRefused` and changes nothing if the ban cannot be stored.
        Afterwards no call can start there: the pool blocks the endpoint at once, and the decision module
        gets the event in this turn."""
        self.change_bans(endpoint, lambda bans: bans.add(endpoint))
        self.node.endpoints.ban(endpoint)
        self.node.note(api.Detached(endpoint))
        log.info("endpoint %s detached by an operator", endpoint)

    def attach(self, endpoint: str) -> None:
        """Lift the ban on the endpoint; no effect if it is not banned. Raises as `detach`."""
        self.change_bans(endpoint, lambda bans: bans.remove(endpoint))
        if endpoint not in self.node.endpoints.banned:
            return
        self.node.endpoints.unban(endpoint)
        self.node.note(api.Attached(endpoint))
        log.info("endpoint %s attached by an operator", endpoint)

    def change_bans(self, endpoint: str, change: Callable[[DetachedEndpoints], None]) -> None:
        bans, registry = self.node.bans, self.node.registry
        assert bans is not None, "commands need a control address, and with it a list of bans"
        if not any(endpoint in known for known in (registry.entries, registry.recently_removed, bans.ids)):
            raise CommandRefused(f"no endpoint is called {endpoint}: INFO tells how many there are")
        try:
            change(bans)
        except OSError as error:
            raise CommandRefused(f"the ban, or its end, cannot be kept: {error}") from None

    def info(self) -> dict[str, Any]:
        """The current metrics. Requests that were handed over are reported by the process that owns them."""
        node = self.node
        held = 0 if node.relinquished else len(node.by_id)
        known = len(node.registry.entries), node.dispatcher.count_unavailable()
        metrics = node.metrics.report(node.endpoints.written, held, *known)
        start = node.start_report.counts()
        return metrics | {"refused_effects": node.lifecycle.counts(), "found_at_start": start}
