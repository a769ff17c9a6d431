"""Identities past their end: the same event, sent again, must not run as a new message. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from rushhitch.acceptor import Reply

KEEP_S = 600.0  # past its time an event is remembered for so long: who asks again does so within minutes
MOST = 100_000  # of them, 30 MB


@dataclass(frozen=True, slots=True)
class End:
    """How the message with that number in the journal ended, and until when it is remembered, in seconds."""

    number: int
    reply: Reply
    until: float


class RememberedEnds:
    """The ends, by id, in the order in which they are forgotten. The journal has them too, by number: what
    `forget` gives is for it to end."""

    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self.ends: OrderedDict[bytes, End] = OrderedDict()
        self.numbers: dict[int, bytes] = {}

    def add(self, name: bytes, end: End) -> None:
        self.ends[name] = end
        self.ends.move_to_end(name)
        self.numbers[end.number] = name

    def full(self, held: int) -> bool:
        """Whether no further event may be taken on beside so many that are held: each will need a place.
        Guards against forgetting one early to make room, which then might run again."""
        return len(self.ends) + held >= self.most

    def get(self, name: bytes, now: float) -> Reply | None:
        found = self.ends.get(name)
        return found.reply if found is not None and now < found.until else None

    def forget(self, now: float) -> list[int]:
        """The numbers of those whose time is over, in the order in which they came."""
        gone = []
        while self.ends:
            oldest = next(iter(self.ends.values()))
            if now < oldest.until:
                break
            self.ends.popitem(last=False)
            del self.numbers[oldest.number]
            gone.append(oldest.number)
        return gone
