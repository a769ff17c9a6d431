"""One process gives all that it has to another, or goes on with what it was given: the core's part of it."""

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
    """The same node on either side: of the process that hands over, or of the one that takes over."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.more: Callable[[], dict[str, Any]] = dict  # what others hand over, as this process ends it

    async def freeze(self) -> bool:
        """Send nothing more; what is not written whole is called back, and what came in is in the journal.
        False where the disk does not take it: then nothing can be handed over."""
        node = self.node
        node.lifecycle.enter(Phase.QUIESCING)
        await node.endpoints.freeze()
        node.turn()
        await node.committer.wait_until_idle()
        return not node.journal.has_unwritten_records

    async def end_calls(self) -> None:
        """This process ends and no other carries its calls on. All that they prove is in the journal before
        it is closed: later, it may be another process's. What is read from then on is refused at once."""
        await self.node.endpoints.hear_out()
        self.node.lifecycle.enter(Phase.CLOSED)
        self.node.turn()  # who handed something in meanwhile is answered, too
        await self.node.committer.wait_until_idle()

    def relinquish(
        self, report: Callable[[Result], None], abandon: Callable[[int, str], None]
    ) -> tuple[int, dict[str, Any]]:
        """Own nothing from now on but the calls that are out, whose results go to `report`; messages whose
        clients turn out to be gone go to `abandon`. The descriptor that holds the folder, and what the
        process needs that goes on."""
        node = self.node
        now = node.loop.time()
        loans = [
            InheritedAttempt(message, attempt, call.endpoint, id(call), call.started, call.first_due)
            for (message, attempt), call in node.endpoints.calls.items()
        ]
        told = {
            "learned": learned.export(node.dispatcher),
            "loans": [astuple(loan) for loan in loans],
            "waits": [(lane, until) for lane, until in node.endpoints.waits.items() if until > now],
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
        return node.journal.hand_over(), told

    def adopt_waits(self, waits: Sequence[tuple[int | str, float]]) -> None:
        node = self.node
        for lane, until in waits:
            node.endpoints.waits[lane] = max(node.endpoints.waits.get(lane, 0.0), until)

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
        """The earlier process tells how one of its calls ended."""
        node = self.node
        loan, held = node.inherited.pop((message, attempt), None), node.messages.get(message)
        if loan is None:
            return
        if wait_ms and (place := node.endpoints.entries.get(loan.endpoint)) is not None:
            self.adopt_waits([(place.lane, node.loop.time() + wait_ms / 1000.0)])
        if held is None:
            return
        kept = held.kept
        words = (kept.id, kept.body, held.due, held.due, kept.cls, kept.attributes, kept.deadline)
        result = Result(Attempt(message, attempt, *words), loan.endpoint, outcome, took_ms, wait_ms, over)
        node.attempt_ended(replace(result, first_due=loan.first_due, later=later, final=final))

    def fail_inherited_attempts(self) -> None:
        """The earlier process has died: what it had out may have run."""
        node = self.node
        for message, attempt in list(node.inherited):
            self.inherited_attempt_ended(message, attempt, Outcome.RESET)
