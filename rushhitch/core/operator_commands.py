"""What operators ask of a running dispatcher: to take an endpoint out, to give it back, and its figures."""

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
    """Their words, carried out at one node."""

    def __init__(self, node: Node) -> None:
        self.node = node

    def detach(self, endpoint: str) -> None:
        """Take the endpoint out; raises `CommandRefused` and changes nothing where that cannot be kept. When it
        returns, no call can start there: the module hears of it in this turn, the sockets know it now."""
        self.change_bans(endpoint, lambda bans: bans.add(endpoint))
        self.node.endpoints.ban(endpoint)
        self.node.note(api.Detached(endpoint))
        log.info("endpoint %s is taken out by operators", endpoint)

    def attach(self, endpoint: str) -> None:
        """The endpoint may serve again; one that is not out stays as it is."""
        self.change_bans(endpoint, lambda bans: bans.remove(endpoint))
        if endpoint not in self.node.endpoints.banned:
            return
        self.node.endpoints.unban(endpoint)
        self.node.note(api.Attached(endpoint))
        log.info("endpoint %s is given back by operators", endpoint)

    def change_bans(self, endpoint: str, change: Callable[[DetachedEndpoints], None]) -> None:
        bans, registry = self.node.bans, self.node.registry
        assert bans is not None, "there is no control address"
        if not any(endpoint in known for known in (registry.entries, registry.left, bans.ids)):
            raise CommandRefused(f"no endpoint is called {endpoint}: INFO tells how many there are")
        try:
            change(bans)
        except OSError as error:
            raise CommandRefused(f"the ban, or its end, cannot be kept: {error}") from None

    def info(self) -> dict[str, Any]:
        """The figures as of now; what was handed over is told by the process that has it."""
        node = self.node
        held = 0 if node.relinquished else len(node.by_id)
        known = len(node.registry.entries), node.dispatcher.count_unavailable()
        told = node.metrics.report(node.endpoints.written, held, *known)
        start = node.start_report.counts()
        return told | {"refused_effects": node.lifecycle.counts(), "found_at_start": start}
