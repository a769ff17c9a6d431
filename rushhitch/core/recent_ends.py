"""Ends of messages whose clients may send them once more under the same id. No I/O, no clock.

A client whose connection breaks under its request sends it once more on a new one. Where the first one was
read, accepted and ended meanwhile, the second must not be a new message: its end has been told.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from rushhitch.acceptor import Reply

KEEP_S = 2.0  # a client that sends once more does so at once, and waits 0.4 s for its answer


@dataclass(frozen=True, slots=True)
class RecentEnd:
    """How a message ended, and until when that is the answer to its id, in seconds."""

    reply: Reply
    until: float


class RecentEnds:
    """The newest ends, by id of the message."""

    def __init__(self) -> None:
        self.ends: OrderedDict[bytes, RecentEnd] = OrderedDict()

    def add(self, name: bytes, reply: Reply, now: float) -> None:
        self.forget(now)
        self.ends.pop(name, None)
        self.ends[name] = RecentEnd(reply, now + KEEP_S)

    def get(self, name: bytes, now: float) -> Reply | None:
        """How that message ended a moment ago; None where it did not."""
        end = self.ends.get(name)
        return end.reply if end is not None and now < end.until else None

    def forget(self, now: float) -> None:
        while self.ends and next(iter(self.ends.values())).until <= now:
            self.ends.popitem(last=False)
