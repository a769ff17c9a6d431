"""Who gives way where there are more connections than room, and how long a request may take to come. No I/O.

A connection whose request was read and has no answer never gives way. Nor does one that is sending: it may be
a client on a slow way, and closing it would only make it come again. The others go in this order: strangers
that have said nothing for a while, strangers that have stopped in the middle of a request, strangers that
have just come, and those that were served before and stand between requests; of each the one that has waited
longest.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

FRESH_S = 0.25  # since it connected: its first bytes may be on their way
STALLED_S = 0.5  # without a byte in the middle of a request: a slow sender's pieces come sooner
SILENT_S = 2.0  # a connection that says nothing, or stops within a request, is ended after so long
PIECES_S = 2.6  # one that sends in pieces, from its first byte: clients need up to 2 s, and strangers are
FIRST_S = 2.7  # owed an end within 3 s of connecting, a look for them included
IDLE_S = 6.0  # one that stands between requests


@dataclass(frozen=True, slots=True)
class ConnectionActivity:
    """What is known of a connection; times in seconds on one clock."""

    connected_at: float
    heard_at: float  # it connected, began a request, or had its last answer
    last_byte_at: float  # its newest byte
    size: int = 0  # bytes of a request that has not come whole
    asked: bool = False  # it has made a request that makes sense
    awaiting_answer: bool = False  # for an answer

    def stalled(self, now: float) -> bool:
        return now - self.last_byte_at >= STALLED_S

    def overdue(self, now: float) -> bool:
        """Whether the request that it began, or its first one, ought to have come by now."""
        if self.awaiting_answer or (self.asked and not self.size):
            return False
        waited = now - self.heard_at
        if not self.size or self.stalled(now):
            return waited >= SILENT_S
        return waited >= PIECES_S or (not self.asked and now - self.connected_at >= FIRST_S)

    def idle(self, now: float) -> bool:
        """Whether it has stood between requests for long enough."""
        return self.asked and not (self.size or self.awaiting_answer) and now - self.heard_at >= IDLE_S

    def eviction_rank(self, now: float) -> int | None:
        """Its place in the order; None if it stays."""
        if self.awaiting_answer:
            return None
        if self.size:
            return 1 if not self.asked and self.stalled(now) else None
        if self.asked:
            return 3
        return 2 if now - self.connected_at < FRESH_S else 0


Who = TypeVar("Who")


def eviction_order(activities: Iterable[tuple[Who, ConnectionActivity]], now: float) -> list[Who]:
    """Those that give way to a newcomer, the first of them first."""
    found = [
        (place, activity.heard_at, number, who)
        for number, (who, activity) in enumerate(activities)
        if (place := activity.eviction_rank(now)) is not None
    ]
    return [who for *_, who in sorted(found, key=lambda entry: entry[:3])]
