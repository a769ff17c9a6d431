"""Ids of ended messages: an event submitted again must not run as a new message. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from rushhitch.acceptor import Reply

RETENTION_S = 600.0  # an event is remembered this long past its deadline; clients resubmit within minutes
MAX_REMEMBERED_ENDS = 100_000  # remembered events: 30 MB


@dataclass(frozen=True, slots=True)
class End:
    """The end of the message with this journal number, remembered `until` that time in seconds."""

    number: int
    reply: Reply
    until: float


class RememberedEnds:
    """Ends by message id, in order of expiry. The journal holds them as well, by number: the caller must end
    there the numbers that `forget` returns."""

    def __init__(self, most: int = MAX_REMEMBERED_ENDS) -> None:
        self.most = most
        self.ends: OrderedDict[bytes, End] = OrderedDict()
        self.numbers: dict[int, bytes] = {}

    def add(self, name: bytes, end: End) -> None:
        self.ends[name] = end
        self.ends.move_to_end(name)
        self.numbers[end.number] = name

    def full(self, held: int) -> bool:
        """Whether to refuse new events while `held` messages are open, each of which will need a place here.
        An end must not be evicted early to make room, since its event could then run again."""
        return len(self.ends) + held >= self.most

    def get(self, name: bytes, now: float) -> Reply | None:
        found = self.ends.get(name)
        return found.reply if found is not None and now < found.until else None

    def forget(self, now: float) -> list[int]:
        """Remove expired ends and return their journal numbers, oldest first."""
        gone = []
        while self.ends:
            oldest = next(iter(self.ends.values()))
            if now < oldest.until:
                break
            self.ends.popitem(last=False)
            del self.numbers[oldest.number]
            gone.append(oldest.number)
        return gone
