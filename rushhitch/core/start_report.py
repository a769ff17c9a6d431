"""What a start found in the journal: counts for operators, and the messages by name for whoever has to
explain later why one was sent, refused or dropped. No I/O but the log."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Container
from enum import Enum

from rushhitch.journal import JournalEntry

log = logging.getLogger(__name__)

MOST_NAMED = 40  # messages of one state that are named in the log


class Found(Enum):
    """The state of a message as a start finds it. Each stands for one decision."""

    UNTRIED = "untried"  # resumed: it has had no call
    TRIED = "tried"  # resumed, as far as its class allows another call
    OUT_OF_TIME = "out_of_time"  # ended by a notice
    TO_BE_NOTIFIED = "to_be_notified"  # its notice is sent again
    REMEMBERED = "remembered"  # its identity is kept
    IN_DOUBT = "in_doubt"  # ended by a notice "bounced": its client may not have heard that it is accepted
    UNANSWERED = "unanswered"  # dropped: its client was not answered
    CLASS_GONE = "class_gone"  # failed: the settings have no such class any more


def found(kept: JournalEntry, now: float, in_doubt: Container[int]) -> Found:
    """The state of a message; `now` by the steady clock, `in_doubt` the numbers of those that are so."""
    if kept.number in in_doubt:
        return Found.IN_DOUBT
    if kept.notice is not None:
        return Found.REMEMBERED if kept.notice[0] in ("delivered", "failed") else Found.TO_BE_NOTIFIED
    if kept.deadline <= now:
        return Found.OUT_OF_TIME
    return Found.TRIED if kept.attempts else Found.UNTRIED


class StartReport:
    """Collects what a start finds and tells it in two lines of the log."""

    def __init__(self) -> None:
        self.messages: defaultdict[Found, list[JournalEntry]] = defaultdict(list)

    def add(self, kept: JournalEntry, state: Found) -> None:
        self.messages[state].append(kept)

    def counts(self) -> dict[str, int]:
        return {state.value: len(self.messages[state]) for state in Found if self.messages[state]}

    def log(self) -> None:
        """The counts, and each message as `number:id`, by state."""
        if not self.messages:
            return
        log.info("the journal was read", extra=self.counts())
        named = {state.value: names(self.messages[state]) for state in Found if self.messages[state]}
        log.info("messages found by the start", extra=named)


def names(messages: list[JournalEntry]) -> str:
    told = [f"{kept.number}:{kept.id.decode('latin-1')}" for kept in messages[:MOST_NAMED]]
    if len(messages) > MOST_NAMED:
        told.append(f"and {len(messages) - MOST_NAMED} more")
    return " ".join(told)
