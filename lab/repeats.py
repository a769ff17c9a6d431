"""A fault of the network between a dispatcher and the stand-ins: what was sent comes again."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

WAYS = (
    "at_once",  # in one segment with the first
    "later",  # a fixed span behind the first, whatever comes
    "split",  # the same, cut in two
    "behind_next",  # set off by the next request on the connection, before its answer
    "with_next",  # in one segment with the next answer, before it
    "several",  # three times, set off by the next request
)
LATER_S = (0.004, 0.040)  # behind the first
BEHIND_REQUEST_S = (0.002, 0.006)  # behind the last byte of the request that sets it off
SPLIT_S = 0.005  # between the two parts


@dataclass(slots=True)
class RepeatFaults:
    """Shares of what is sent that comes again, by stream; `ways` are those of answers."""

    answers: float = 0.0  # of partners
    notices: float = 0.0  # answers to notices
    lists: float = 0.0  # lines of a watch: the line before comes again behind a newer one
    ways: tuple[str, ...] = WAYS


@dataclass(slots=True)
class Repeats:
    """Draws what comes again on one stream, from a seed; `counts` has how often, by way."""

    chance: random.Random
    share: float = 0.0
    ways: tuple[str, ...] = WAYS
    counts: Counter[str] = field(default_factory=Counter)

    def draw(self) -> str | None:
        """The way in which the next answer comes again; None if it does not."""
        if self.chance.random() >= self.share:
            return None
        way = self.chance.choice(self.ways)
        self.counts[way] += 1
        return way

    def later_s(self) -> float:
        return self.chance.uniform(*LATER_S)

    def behind_request_s(self) -> float:
        return self.chance.uniform(*BEHIND_REQUEST_S)
