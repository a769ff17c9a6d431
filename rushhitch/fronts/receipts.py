"""Which acceptances a client may not have received, by how its connection ended. No I/O, no clock.

An answer that the kernel has taken is not yet received: the client may have closed its connection before,
which shows only when the answer reaches the closed socket. A client without an answer submits its message
again, so the first one must not be delivered.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

CLIENT_WAITS_S = 0.4  # protocol: then a client without its answer closes the connection
SLACK_S = 0.05  # protocol: added to each time limit on sockets
# A reset within this time may have discarded an answer that was acknowledged but not read.
RECEIPT_DOUBT_S = CLIENT_WAITS_S + SLACK_S
MIN_RECEIPT_DOUBT_S = 0.01  # the same without acknowledgement counts: clients that have read also reset


class Ending(Enum):
    """How the client ended its connection."""

    INPUT_ENDED = "its client ended its sending"  # in order: it had read what had arrived
    RESET = "its client's connection broke"  # unread answers are lost


@dataclass(frozen=True, slots=True)
class Acceptance:
    """An answer that accepts a message."""

    handle: int  # of the message, as given by `Acceptor`
    answered_at: float  # event loop time in seconds
    end: int  # offset of its end in the answer bytes of the connection


class Receipts:
    """The acceptances of one connection that its client may not have received."""

    def __init__(self) -> None:
        self.written = 0  # answer bytes taken by the kernel
        self.unconfirmed: deque[Acceptance] = deque()

    def wrote(self, size: int) -> None:
        self.written += size

    def accepted(self, handle: int, now: float) -> None:
        """The bytes just written accepted the message of `handle`; `now` is event loop time in seconds."""
        self.unconfirmed.append(Acceptance(handle, now, self.written))

    def handles(self) -> list[int]:
        """Handles of the messages whose acceptances are in doubt."""
        return [acceptance.handle for acceptance in self.unconfirmed]

    def overdue(self, unacknowledged: int | None, now: float) -> list[int]:
        """Remove and return the handles that the client's TCP stack has left unacknowledged for
        `RECEIPT_DOUBT_S`, when it has given up waiting. `unacknowledged` is in bytes, None if unknown."""
        late = [
            acceptance
            for acceptance in self.unconfirmed
            if now >= acceptance.answered_at + RECEIPT_DOUBT_S
            and self.is_unconfirmed(acceptance, unacknowledged)
        ]
        self.unconfirmed = deque(acceptance for acceptance in self.unconfirmed if acceptance not in late)
        return [acceptance.handle for acceptance in late]

    def confirm_older(self, unacknowledged: int | None, now: float) -> float | None:
        """The client is still connected: older answers that are not `overdue` count as received. Returns the
        time of the next check, None if nothing is in doubt. `unacknowledged` is in bytes, None if unknown."""
        doubt_s = MIN_RECEIPT_DOUBT_S if unacknowledged is None else RECEIPT_DOUBT_S
        while self.unconfirmed and now >= self.unconfirmed[0].answered_at + doubt_s:
            self.unconfirmed.popleft()
        if not self.unconfirmed:
            return None
        return max(self.unconfirmed[0].answered_at + doubt_s, now + MIN_RECEIPT_DOUBT_S)

    def take_unconfirmed(self, ending: Ending, unacknowledged: int | None) -> list[int]:
        """Remove and return the handles whose acceptance may not have been received, given how the connection
        ended. `unacknowledged` is in bytes; if it is None, `ending` alone decides."""
        unconfirmed, remaining = [], deque()
        for acceptance in self.unconfirmed:
            if ending is Ending.RESET or self.is_unconfirmed(acceptance, unacknowledged):
                unconfirmed.append(acceptance.handle)
            else:
                remaining.append(acceptance)
        self.unconfirmed = remaining
        return unconfirmed

    def mark_closed_in_order(self) -> None:
        """The client closed in order, so it had read what was acknowledged; a later reset is its reaction to
        later writes."""
        self.unconfirmed.clear()

    def is_unconfirmed(self, acceptance: Acceptance, unacknowledged: int | None) -> bool:
        return unacknowledged is not None and acceptance.end > self.written - unacknowledged
