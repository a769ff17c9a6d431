"""Recovery at the start: resumes or ends each message that an earlier process left in the journal."""

from __future__ import annotations

import logging
from collections.abc import Mapping, Sequence
from typing import Any

from crowpier import interface as api
from rushhitch.acceptor import DELIVERED, FAILED, Reply
from rushhitch.core.messages import BUSY_MS, InheritedAttempt, PendingNotice
from rushhitch.core.node import Node
from rushhitch.core.start_report import Found, classify
from rushhitch.journal import JournalEntry

log = logging.getLogger(__name__)


def resume(
    node: Node, known: Mapping[str, Any] | None = None, loans: Sequence[InheritedAttempt] = ()
) -> None:
    """Resume the open messages of the journal; deadlines and attempt counts continue. A previous process that
    still finishes its calls passes what it learned (`known`) and its attempts in flight (`loans`)."""
    if known is not None:
        node.note(api.LearnedStateRestored(known))
    else:
        for endpoint, pace_per_s in node.journal.cold.items():
            node.note(api.ColdStateRestored(endpoint, pace_per_s))
    inherited = register_inherited(node, loans)
    for kept in node.journal.dropped:
        node.start_report.add(kept, Found.UNANSWERED)
    in_doubt = set(node.journal.in_doubt)
    for kept in node.journal.entries():  # in order of acceptance, which some classes preserve
        state = classify(kept, node.steady_time(), in_doubt)
        if kept.cls not in node.classes and node.history.terms_of(kept.number, kept.cls) is None:
            if state not in (Found.IN_DOUBT, Found.REMEMBERED, Found.TO_BE_NOTIFIED):
                state = Found.CLASS_GONE
        node.start_report.add(kept, state)
        resume_or_end(node, kept, state, inherited.get(kept.number, []))
    node.start_report.log()
    node.commit()
    if node.events:
        node.turn()


def register_inherited(node: Node, loans: Sequence[InheritedAttempt]) -> dict[int, list[InheritedAttempt]]:
    """Register the attempts that the previous process still runs, and return them by message."""
    inherited: dict[int, list[InheritedAttempt]] = {}
    for loan in loans:
        if loan.message in node.journal.live and loan.attempt in node.journal.live[loan.message].out:
            inherited.setdefault(loan.message, []).append(loan)
            node.inherited[loan.message, loan.attempt] = loan
    return inherited


def resume_or_end(node: Node, kept: JournalEntry, state: Found, loans: list[InheritedAttempt]) -> None:
    """Resume or end one message, depending on its state."""
    match state:
        case Found.IN_DOUBT:
            end_at_start(node, kept, Reply("refused", BUSY_MS))
        case Found.CLASS_GONE:
            log.error("message %r failed: its class %r is no longer in the settings", kept.id, kept.cls)
            end_at_start(node, kept, FAILED)
        case Found.REMEMBERED | Found.TO_BE_NOTIFIED:
            assert kept.notice is not None, "a message that has ended has a notice"
            result, wait_ms = kept.notice
            if kept.remember and result != "bounced":
                node.remember_end(kept, DELIVERED if result == DELIVERED.status else FAILED)
            if state is Found.TO_BE_NOTIFIED:
                node.notify(kept.number, kept.id, result, wait_ms)
        case _:
            resume_open(node, kept, loans)


def resume_open(node: Node, kept: JournalEntry, loans: list[InheritedAttempt]) -> None:
    """Resume an open message, whose end this process now owes."""
    message = node.add_message(kept)
    message.resumed = True
    if loans:
        message.out |= {loan.attempt for loan in loans}
        node.announce(message, loans)
    elif (
        kept.awaiting_ack is not None
        and node.acknowledges_later(kept.destination)
        and not node.is_ordered(kept)
    ):
        node.await_acknowledgement(message)
    else:
        node.announce(message, untried=not kept.attempts)


def end_at_start(node: Node, kept: JournalEntry, end: Reply) -> None:
    """End with a notice a message that is not resumed: its class was removed, or its client may not have
    received the acceptance and may have resubmitted it."""
    result = "dead" if end is FAILED else "bounced"
    node.recent_ends.add(kept.id, end, node.loop.time())
    node.journal.record_notice(kept.number, result, end.wait_ms)
    node.notices.append(PendingNotice(kept.number, kept.id, result, end.wait_ms, node.loop_deadline(kept)))
    node.metrics.ended(kept.cls, end.status)
