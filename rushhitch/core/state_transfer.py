"""Handover of all requests from one process to its successor: the part of the core on both sides."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import astuple, replace
from typing import Any

from crowpier import learned
from crowpier.interface import Outcome
from rushhitch.core.lifecycle import Phase
from rushhitch.core.messages import InheritedAttempt
from rushhitch.core.node import Node
from rushhitch.endpoints import Result
from rushhitch.partners.codec import Attempt


class StateTransfer:
    """Used by the process that hands over and by the one that takes over, each with its own node."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.more: Callable[[], dict[str, Any]] = dict  # state that other components hand over

    async def freeze(self) -> bool:
        """Quiesce: start no call, abort calls not yet written in full, and commit everything to the journal.
        Returns False if the disk does not accept that; then nothing can be handed over."""
        node = self.node
        node.lifecycle.enter(Phase.QUIESCING)
        await node.endpoints.freeze()
        node.turn()
        await node.committer.wait_until_idle()
        return not node.journal.has_unwritten_records

    async def end_calls(self) -> None:
        """Shut down without a successor for the calls in flight. Their outcomes are committed before the
        journal is closed, since another process may own it afterwards. Requests read from then on are
        refused."""
        await self.node.endpoints.finish_calls()
        self.node.lifecycle.enter(Phase.CLOSED)
        self.node.turn()  # also answers requests submitted meanwhile
        await self.node.committer.wait_until_idle()

    def relinquish(
        self, report: Callable[[Result], None], abandon: Callable[[int, str], None]
    ) -> tuple[int, dict[str, Any]]:
        """Give up ownership of all requests. Calls in flight continue, with their results passed to `report`;
        messages whose clients have disconnected are passed to `abandon`. Returns the descriptor of the
        folder's lock and the state for the successor."""
        node = self.node
        now = node.loop.time()
        loans = [
            InheritedAttempt(message, attempt, call.endpoint, id(call), call.started, call.first_due)
            for (message, attempt), call in node.endpoints.calls.items()
        ]
        state = {
            "learned": learned.export(node.dispatcher),
            "loans": [astuple(loan) for loan in loans],
            "waits": [(lane, until) for lane, until in node.endpoints.retry_after.items() if until > now],
            "servers": list(node.registry.servers.values()),
            **self.more(),
        }
        node.lifecycle.enter(Phase.RELINQUISHED)
        node.endpoints.report, node.abandon_elsewhere = report, abandon
        if node.reminder is not None:
            node.reminder.cancel()
        if node.retrying is not None:
            node.retrying.cancel()
        for message in node.messages.values():
            if message.watchdog is not None:
                message.watchdog.cancel()
        return node.journal.hand_over(), state

    def adopt_waits(self, waits: Sequence[tuple[int | str, float]]) -> None:
        node = self.node
        for lane, until in waits:
            node.endpoints.retry_after[lane] = max(node.endpoints.retry_after.get(lane, 0.0), until)

    def inherited_attempt_ended(
        self,
        message: int,
        attempt: int,
        outcome: Outcome,
        took_ms: float = 0.0,
        wait_ms: float = 0.0,
        over: bool = False,
        later: bool = False,
        final: bool = False,
    ) -> None:
        """Handle the result of an inherited attempt, as reported by the earlier process."""
        node = self.node
        loan, owned = node.inherited.pop((message, attempt), None), node.messages.get(message)
        if loan is None:
            return
        if wait_ms and (entry := node.endpoints.entries.get(loan.endpoint)) is not None:
            self.adopt_waits([(entry.lane, node.loop.time() + wait_ms / 1000.0)])
        if owned is None:
            return
        kept = owned.kept
        fields = (kept.id, kept.body, owned.due, owned.due, kept.cls, kept.attributes, kept.deadline)
        result = Result(Attempt(message, attempt, *fields), loan.endpoint, outcome, took_ms, wait_ms, over)
        node.attempt_ended(replace(result, first_due=loan.first_due, later=later, final=final))

    def fail_inherited_attempts(self) -> None:
        """The earlier process has died: its attempts in flight end as RESET, since they may have run."""
        node = self.node
        for message, attempt in list(node.inherited):
            self.inherited_attempt_ended(message, attempt, Outcome.RESET)
