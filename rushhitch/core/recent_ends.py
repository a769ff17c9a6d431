"""Recent ends of messages, to recognise resubmissions under the same id. No I/O, no clock.

A client whose connection breaks during its request resubmits on a new connection. If the first request was
read, accepted and ended meanwhile, the second must not become a new message: an end was already reported.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from rushhitch.acceptor import Reply

RETENTION_S = 2.0  # clients resubmit at once, and wait 0.4 s for their answer


@dataclass(frozen=True, slots=True)
class RecentEnd:
    """The end of a message, which answers its id `until` that time in seconds."""

    reply: Reply
    until: float


class RecentEnds:
    """Ends of the last `RETENTION_S` seconds by message id, oldest first."""

    def __init__(self) -> None:
        self.ends: OrderedDict[bytes, RecentEnd] = OrderedDict()

    def add(self, name: bytes, reply: Reply, now: float) -> None:
        self.forget(now)
        self.ends.pop(name, None)
        self.ends[name] = RecentEnd(reply, now + RETENTION_S)

    def get(self, name: bytes, now: float) -> Reply | None:
        """The end of that message if it is recent, else None."""
        end = self.ends.get(name)
        return end.reply if end is not None and now < end.until else None

    def forget(self, now: float) -> None:
        while self.ends and next(iter(self.ends.values())).until <= now:
            self.ends.popitem(last=False)
