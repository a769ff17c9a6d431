"""Which acceptances a client may not have heard, by how its connection ended. No I/O, no clock.

An answer that the system has taken is not heard yet: the client may have closed its connection before, and
the system learns of that only once the answer meets a socket that is gone. A client that has not heard hands
its message in anew, so the first one must not go on.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

CLIENT_WAITS_S = 0.4  # protocol page: for its answer; then it closes the connection
SLACK_S = 0.05  # protocol page: each time limit is so much longer on sockets
DOUBT_S = CLIENT_WAITS_S + SLACK_S  # a reset so soon may have discarded what was confirmed and not read
BLIND_DOUBT_S = 0.01  # likewise where confirmations are not known: clients that have heard reset, too


class Ending(Enum):
    """How a connection ended, from the client's side."""

    INPUT_ENDED = "its client ended its sending"  # in order: it had read what had come
    RESET = "its client's connection broke"  # what the client had not read by then it never will


@dataclass(frozen=True, slots=True)
class Acceptance:
    """One answer that a message is accepted."""

    handle: int  # of the message, as `Acceptor` gave it
    answered_at: float  # by the clock of the event loop, in seconds
    end: int  # bytes of answers on the connection, this one included


class Receipts:
    """The acceptances of one connection that its client may still turn out not to have heard."""

    def __init__(self) -> None:
        self.written = 0  # bytes of answers that were handed to the system
        self.doubtful: deque[Acceptance] = deque()

    def wrote(self, size: int) -> None:
        """So many bytes of answers have been handed to the system."""
        self.written += size

    def accepted(self, handle: int, now: float) -> None:
        """The bytes just written accepted that message."""
        self.doubtful.append(Acceptance(handle, now, self.written))

    def handles(self) -> list[int]:
        """Of the messages whose acceptances are in doubt."""
        return [acceptance.handle for acceptance in self.doubtful]

    def overdue(self, unacknowledged: int | None, now: float) -> list[int]:
        """The handles of those that the client's system has not confirmed for so long that its client has
        given up waiting. They are in doubt no longer."""
        late = [
            acceptance
            for acceptance in self.doubtful
            if now >= acceptance.answered_at + DOUBT_S and self.is_unconfirmed(acceptance, unacknowledged)
        ]
        self.doubtful = deque(acceptance for acceptance in self.doubtful if acceptance not in late)
        return [acceptance.handle for acceptance in late]

    def still_there(self, unacknowledged: int | None, now: float) -> float | None:
        """The client has not gone: what was answered a while ago, and is not `overdue`, is heard. Gives when
        to look again, None where nothing is in doubt. `unacknowledged` is the number of bytes that its system
        has not confirmed, None where that is not known."""
        doubt_s = BLIND_DOUBT_S if unacknowledged is None else DOUBT_S
        while self.doubtful and now >= self.doubtful[0].answered_at + doubt_s:
            self.doubtful.popleft()
        if not self.doubtful:
            return None
        return max(self.doubtful[0].answered_at + doubt_s, now + BLIND_DOUBT_S)

    def unheard(self, ending: Ending, unacknowledged: int | None) -> list[int]:
        """The handles of those that may not have been heard, as far as it is known how the connection ended;
        they are in doubt no longer. Where it is not known what the client's system has confirmed, how the
        connection ended has to tell."""
        found, rest = [], deque()
        for acceptance in self.doubtful:
            if ending is Ending.RESET or self.is_unconfirmed(acceptance, unacknowledged):
                found.append(acceptance.handle)
            else:
                rest.append(acceptance)
        self.doubtful = rest
        return found

    def left(self) -> None:
        """The client has ended its sending in order, so it had read what was confirmed. A reset
        that comes later is its answer to what is written later."""
        self.doubtful.clear()

    def is_unconfirmed(self, acceptance: Acceptance, unacknowledged: int | None) -> bool:
        return unacknowledged is not None and acceptance.end > self.written - unacknowledged
