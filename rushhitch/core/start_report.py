"""Report on the messages that a start found in the journal: counts for operators, and ids that explain later
why a message was sent, refused or dropped. No I/O except logging."""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Container
from enum import Enum

from rushhitch.journal import JournalEntry

log = logging.getLogger(__name__)

MAX_NAMED_MESSAGES = 40  # messages per state that are named in the log


class Found(Enum):
    """The state in which a start finds a message, which decides what happens to it. Values are logged."""

    UNTRIED = "untried"  # resumed; it had no call
    TRIED = "tried"  # resumed, if its class allows another call
    OUT_OF_TIME = "out_of_time"  # past its deadline: ended with a notice
    TO_BE_NOTIFIED = "to_be_notified"  # ended before: its notice is sent again
    REMEMBERED = "remembered"  # ended before: its id is remembered
    IN_DOUBT = "in_doubt"  # ended with notice "bounced": its client may have missed the acceptance
    UNANSWERED = "unanswered"  # dropped: its client was not answered
    CLASS_GONE = "class_gone"  # failed: its class was removed from the settings


def classify(kept: JournalEntry, now: float, in_doubt: Container[int]) -> Found:
    """The state of a message; `now` is steady time, `in_doubt` the numbers of the messages in doubt."""
    if kept.number in in_doubt:
        return Found.IN_DOUBT
    if kept.notice is not None:
        return Found.REMEMBERED if kept.notice[0] in ("delivered", "failed") else Found.TO_BE_NOTIFIED
    if kept.deadline <= now:
        return Found.OUT_OF_TIME
    return Found.TRIED if kept.attempts else Found.UNTRIED


class StartReport:
    """Collects the messages found by a start and logs them in two lines."""

    def __init__(self) -> None:
        self.messages: defaultdict[Found, list[JournalEntry]] = defaultdict(list)

    def add(self, kept: JournalEntry, state: Found) -> None:
        self.messages[state].append(kept)

    def counts(self) -> dict[str, int]:
        return {state.value: len(self.messages[state]) for state in Found if self.messages[state]}

    def log(self) -> None:
        """Log the counts, and the messages as `number:id`, by state."""
        if not self.messages:
            return
        log.info("the journal was read", extra=self.counts())
        named = {state.value: format_ids(self.messages[state]) for state in Found if self.messages[state]}
        log.info("messages found by the start", extra=named)


def format_ids(messages: list[JournalEntry]) -> str:
    shown = [f"{kept.number}:{kept.id.decode('latin-1')}" for kept in messages[:MAX_NAMED_MESSAGES]]
    if len(messages) > MAX_NAMED_MESSAGES:
        shown.append(f"and {len(messages) - MAX_NAMED_MESSAGES} more")
    return " ".join(shown)
