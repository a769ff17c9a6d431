"""Connection eviction order and request timeouts. No I/O.

A connection with an open request is never evicted. Nor is one that is sending: it may be a client on a slow
link, and closing it would only make it reconnect. The others are evicted in this order: new connections (no
valid request yet) that have been silent for a while, new ones stalled within a request, new ones that have
just connected, and idle ones that were served before; within each group the least recently active first.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

FRESH_S = 0.25  # after connecting: the first bytes may still be in transit
STALLED_S = 0.5  # without a byte within a request: pieces of a slow sender arrive sooner
SILENT_S = 2.0  # limit for a connection that sends nothing, or stalls within a request
PIECES_S = 2.6  # limit for a request sent in pieces, from its first byte: clients need up to 2 s
FIRST_S = (
    2.7  # limit for the first request: it must be over within 3 s of connecting, sweep interval included
)
IDLE_S = 6.0  # limit between requests


@dataclass(frozen=True, slots=True)
class ConnectionActivity:
    """State of a connection that decides on eviction and timeouts; times in seconds of one clock."""

    connected_at: float
    heard_at: float  # connected, began a request or was last answered
    last_byte_at: float
    size: int = 0  # bytes of the request received in part
    asked: bool = False  # it has made a valid request
    awaiting_answer: bool = False

    def stalled(self, now: float) -> bool:
        return now - self.last_byte_at >= STALLED_S

    def overdue(self, now: float) -> bool:
        """Whether the request it began, or its first one, has taken too long to arrive."""
        if self.awaiting_answer or (self.asked and not self.size):
            return False
        waited = now - self.heard_at
        if not self.size or self.stalled(now):
            return waited >= SILENT_S
        return waited >= PIECES_S or (not self.asked and now - self.connected_at >= FIRST_S)

    def idle(self, now: float) -> bool:
        """Whether it has had no request for `IDLE_S`."""
        return self.asked and not (self.size or self.awaiting_answer) and now - self.heard_at >= IDLE_S

    def eviction_rank(self, now: float) -> int | None:
        """Its group in the eviction order, lowest first; None if it must not be evicted."""
        if self.awaiting_answer:
            return None
        if self.size:
            return 1 if not self.asked and self.stalled(now) else None
        if self.asked:
            return 3
        return 2 if now - self.connected_at < FRESH_S else 0


Key = TypeVar("Key")


def eviction_order(activities: Iterable[tuple[Key, ConnectionActivity]], now: float) -> list[Key]:
    """The connections that may be evicted, in the order in which to evict them."""
    found = [
        (rank, activity.heard_at, number, key)
        for number, (key, activity) in enumerate(activities)
        if (rank := activity.eviction_rank(now)) is not None
    ]
    return [key for *_, key in sorted(found, key=lambda entry: entry[:3])]
