"""A start goes on with what an earlier process left in the journal, by the state in which it finds it."""

from __future__ import annotations

import logging
from collections.abc import Mapping, Sequence
from typing import Any

from crowpier import interface as api
from rushhitch.acceptor import DELIVERED, FAILED, Reply
from rushhitch.core.messages import BUSY_MS, InheritedAttempt, PendingNotice
from rushhitch.core.node import Node
from rushhitch.core.start_report import Found, found
from rushhitch.journal import JournalEntry

log = logging.getLogger(__name__)


def resume(
    node: Node, known: Mapping[str, Any] | None = None, loans: Sequence[InheritedAttempt] = ()
) -> None:
    """Take up what an earlier process left in the journal: its time and its attempts go on. One that still
    ends its calls has told what it had learned (`known`), and what it has out (`loans`)."""
    if known is not None:
        node.note(api.LearnedStateRestored(known))
    else:
        for endpoint, pace_per_s in node.journal.cold.items():
            node.note(api.ColdStateRestored(endpoint, pace_per_s))
    inherited = inherit(node, loans)
    for kept in node.journal.dropped:
        node.start_report.add(kept, Found.UNANSWERED)
    in_doubt = set(node.journal.in_doubt)
    for kept in node.journal.entries():  # in the order of taking, which some classes keep
        state = found(kept, node.steady_time(), in_doubt)
        if kept.cls not in node.classes and node.history.terms_of(kept.number, kept.cls) is None:
            if state not in (Found.IN_DOUBT, Found.REMEMBERED, Found.TO_BE_NOTIFIED):
                state = Found.CLASS_GONE
        node.start_report.add(kept, state)
        go_on(node, kept, state, inherited.get(kept.number, []))
    node.start_report.log()
    node.commit()
    if node.events:
        node.turn()


def inherit(node: Node, loans: Sequence[InheritedAttempt]) -> dict[int, list[InheritedAttempt]]:
    """The attempts that the process before this one carries to their ends, by message."""
    inherited: dict[int, list[InheritedAttempt]] = {}
    for loan in loans:
        if loan.message in node.journal.live and loan.attempt in node.journal.live[loan.message].out:
            inherited.setdefault(loan.message, []).append(loan)
            node.inherited[loan.message, loan.attempt] = loan
    return inherited


def go_on(node: Node, kept: JournalEntry, state: Found, loans: list[InheritedAttempt]) -> None:
    """What becomes of one message, by the state in which it is found."""
    match state:
        case Found.IN_DOUBT:
            end_at_start(node, kept, Reply("refused", BUSY_MS))
        case Found.CLASS_GONE:
            log.error("message %r is of class %r, which is gone: it is failed", kept.id, kept.cls)
            end_at_start(node, kept, FAILED)
        case Found.REMEMBERED | Found.TO_BE_NOTIFIED:
            assert kept.notice is not None, "it has ended"
            result, wait_ms = kept.notice
            if kept.remember and result != "bounced":
                node.remember(kept, DELIVERED if result == DELIVERED.status else FAILED)
            if state is Found.TO_BE_NOTIFIED:
                node.notify(kept.number, kept.id, result, wait_ms)
        case _:
            take_up(node, kept, loans)


def take_up(node: Node, kept: JournalEntry, loans: list[InheritedAttempt]) -> None:
    """The message is open, and this process owes its end."""
    message = node.enter(kept)
    message.resumed = True
    if loans:
        message.out |= {loan.attempt for loan in loans}
        node.arrive(message, loans)
    elif kept.awaiting_ack is not None and node.acknowledges(kept.destination) and not node.ordered(kept):
        node.hand_over(message)
    else:
        node.arrive(message, untried=not kept.attempts)


def end_at_start(node: Node, kept: JournalEntry, end: Reply) -> None:
    """End by a notice what the process before this one left and this one does not go on with: its class
    is gone, or its client may not have heard that it is accepted and have handed it in anew."""
    result = "dead" if end is FAILED else "bounced"
    node.recent_ends.add(kept.id, end, node.loop.time())
    node.journal.record_notice(kept.number, result, end.wait_ms)
    node.notices.append(PendingNotice(kept.number, kept.id, result, end.wait_ms, node.due_of(kept)))
    node.metrics.ended(kept.cls, end.status)
