"""Messages between forwarders and planners. Rates are in calls per second, times in milliseconds.

A lane is the unit that has a limit: a destination, or one of its routes if routes have separate limits. Times
are durations on the clock of whoever measures them, so the clocks of both sides need not agree.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class LaneReport:
    """What a forwarder observed on one lane since its previous report."""

    lane: str
    group: str = ""  # the destination; lanes of one group are separate routes to the same partner
    demand: float = 0.0  # calls per second that the forwarder would send without any limit
    worth: float = 1.0  # average worth of the held messages relative to the cheapest class
    sent: float = 0.0  # calls; a message of a batch counts as a fraction of a call
    taken: float = 0.0
    refused: float = 0.0
    wait_ms: float = 0.0  # remaining part of a wait requested by the partner
    cold: bool = False  # in an outage, or recovering from one and not yet warm
    holding: float = 0.0  # rate of the grant in use; 0 if there is none
    planner: str = ""  # that issued the grant in use
    term: int = 0
    seq: int = 0
    limit: float = 0.0  # the lane's limit according to that grant; 0 if unknown
    expired: bool = False  # lease and safe period are over: no planner accounts for `holding`

    def is_valid(self) -> bool:
        """Whether all values are in their possible ranges; the planner ignores the row otherwise."""
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
            0 < len(self.lane) <= MAX_NAME_LENGTH
            and len(self.group) <= MAX_NAME_LENGTH
            and all(0 <= count < MAX_COUNT for count in counts)
            and all(math.isfinite(rate) and 0 <= rate < MAX_RATE for rate in rates)
        )


@dataclass(slots=True)
class Report:
    """A forwarder's report to one planner; idle lanes are omitted."""

    forwarder: str
    number: int
    elapsed_ms: float  # since the previous report, on the forwarder's clock
    heard: list[str] = field(default_factory=list)  # planners that answered recently
    lanes: list[LaneReport] = field(default_factory=list)


@dataclass(slots=True)
class Grant:
    """A leased rate on a lane: `per_s` for `lease_ms` from the report on, then `safe_per_s` for `safe_ms`."""

    lane: str
    per_s: float
    burst: float
    lease_ms: float
    safe_per_s: float
    safe_ms: float
    term: int
    seq: int
    wait_ms: float = 0.0
    score_penalty: float = 0.0  # of the lane among the routes of its group
    limit: float = 0.0  # the lane's estimated limit; 0 if unknown
    slots_ms: float = 0.0  # period from the report on that `slots` covers; 0 if calls are not slotted
    slot: int = 0  # number of the first slot; a repeated number is the same slot
    slots: list[float] = field(default_factory=list)  # times of calls, from the report on
    is_grant: bool = True  # False: not leased; the rate at which an expired forwarder stays meanwhile


@dataclass(slots=True)
class Grants:
    """A planner's answer to the report with the same number."""

    planner: str
    number: int
    grants: list[Grant] = field(default_factory=list)


MAX_NAME_LENGTH = 200  # characters
MAX_COUNT = 1 << 40
MAX_RATE = 1e9
