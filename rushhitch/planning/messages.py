"""What forwarders and planners tell each other. Rates are calls a second, times milliseconds.

A lane is what shares a limit: a destination, or one route of it where routes are apart. Times are durations
by the clock of whoever counts them; no clock of one side means anything to the other.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class LaneReport:
    """One lane as a forwarder saw it since its report before."""

    lane: str
    group: str = ""  # the destination: lanes of one are routes apart to the same partner
    demand: float = 0.0  # calls a second that it would send if nothing held it back
    worth: float = 1.0  # of an average message that is held, over that of the cheapest class
    sent: float = 0.0  # calls; a message of a batch is its part of one
    taken: float = 0.0
    refused: float = 0.0
    wait_ms: float = 0.0  # of a told wait that is left
    cold: bool = False  # in an outage, or back from one and not warm
    holding: float = 0.0  # the rate of the grant that it goes by; 0 if it has none
    planner: str = ""  # whose
    term: int = 0
    seq: int = 0
    limit: float = 0.0  # what that grant said the lane's limit is; 0 where it said nothing
    freed: bool = False  # that grant has lapsed with its safe time: no planner reckons with `holding`

    def sound(self) -> bool:
        """Whether its figures are ones that a forwarder can have seen; a planner leaves it out otherwise."""
        counts = (self.term, self.seq)
        rates = (
            self.demand,
            self.worth,
            self.sent,
            self.taken,
            self.refused,
            self.wait_ms,
            self.holding,
            self.limit,
        )
        return (
            0 < len(self.lane) <= MOST_NAME
            and len(self.group) <= MOST_NAME
            and all(0 <= count < MOST_COUNT for count in counts)
            and all(math.isfinite(rate) and 0 <= rate < MOST_RATE for rate in rates)
        )


@dataclass(slots=True)
class Report:
    """A forwarder's report to one planner; lanes with nothing to tell are left out."""

    forwarder: str
    number: int
    elapsed_ms: float  # since the report before, by the forwarder's clock
    heard: list[str] = field(default_factory=list)  # planners that answered it of late
    lanes: list[LaneReport] = field(default_factory=list)


@dataclass(slots=True)
class Grant:
    """What a forwarder may send on a lane from when it asked; past `lease_ms`, `safe` for `safe_ms`."""

    lane: str
    per_s: float
    burst: float
    lease_ms: float
    safe: float
    safe_ms: float
    term: int
    seq: int
    wait_ms: float = 0.0
    handicap: float = 0.0  # of the lane among its group's, as a score
    limit: float = 0.0  # the lane's, as far as the planner knows
    slots_ms: float = 0.0  # from when it asked, so long the moments of its calls are told; 0 where none are
    slot: int = 0  # the number of the first of them: each counts once, however often it is told
    slots: list[float] = field(default_factory=list)  # from when it asked
    counts: bool = True  # False: no grant, but what one that has freed itself is to stay at meanwhile


@dataclass(slots=True)
class Grants:
    """A planner's answer to the report of that number."""

    planner: str
    number: int
    grants: list[Grant] = field(default_factory=list)


MOST_NAME = 200  # characters
MOST_COUNT = 1 << 40
MOST_RATE = 1e9
