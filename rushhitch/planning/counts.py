"""Counts per lane for a forwarder's reports. No I/O, no clock: the caller passes times."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from crowpier.interface import Outcome
from rushhitch.planning.messages import LaneReport

ARRIVAL_SMOOTHING_MS = 1_500.0  # time constant of the arrival rate
BACKLOG_DRAIN_MS = 1_000.0  # held messages count as demand to be sent in this time
IDLE_REPORT_MS = 4_000.0  # period for which an idle lane is still reported
TAKEN = frozenset({Outcome.OK, Outcome.ERROR})  # the partner admitted the call, whatever its result


@dataclass(slots=True)
class Lane:
    """Counts of one lane since the previous report."""

    name: str
    group: str
    destination: int
    sent: float = 0.0
    taken: float = 0.0
    refused: float = 0.0
    messages: float = 0.0  # in the calls that were sent
    size: float = 1.0  # messages per call, smoothed
    wait_until: float = -math.inf
    cold: bool = False
    quiet_ms: float = math.inf


class LaneCounts:
    """Counts of all lanes. Times are milliseconds of one clock."""

    def __init__(self, worths: list[float]) -> None:
        self.cheapest = min((worth for worth in worths if worth > 0), default=1.0)
        self.lanes: dict[str, Lane] = {}
        self.by_endpoint: dict[str, Lane] = {}
        self.cold: set[str] = set()
        self.arrivals: dict[
            int, list[float]
        ] = {}  # by destination: messages since the last report, smoothed rate

    def place(self, endpoint: str, destination: int, apart: bool) -> None:
        """Adds a listed endpoint; with `apart` each route is a lane of its own."""
        name, group = (f"e{endpoint}", f"d{destination}") if apart else (f"d{destination}", "")
        if name not in self.lanes:
            self.lanes[name] = Lane(name, group, destination)
        self.by_endpoint[endpoint] = self.lanes[name]

    def remove(self, endpoint: str) -> None:
        lane = self.by_endpoint.pop(endpoint, None)
        self.cold.discard(endpoint)
        if lane is not None and lane not in self.by_endpoint.values():
            del self.lanes[lane.name]
            if all(other.destination != lane.destination for other in self.lanes.values()):
                self.arrivals.pop(lane.destination, None)

    def arrived(self, destination: int) -> None:
        self.arrivals.setdefault(destination, [0.0, 0.0])[0] += 1

    def sent(self, endpoint: str, messages: int, calls: int) -> None:
        if lane := self.by_endpoint.get(endpoint):
            lane.sent += calls
            lane.messages += messages

    def ended(self, now: float, endpoint: str, outcome: Outcome, wait_ms: float) -> None:
        """Counts the outcome of one message's attempt."""
        lane = self.by_endpoint.get(endpoint)
        if lane is None:
            return
        if outcome in TAKEN:
            lane.taken += 1.0 / lane.size
        elif outcome is Outcome.FULL:
            lane.refused += 1.0 / lane.size
        if wait_ms > 0:
            lane.wait_until = max(lane.wait_until, now + wait_ms)

    def chilled(self, endpoint: str, cold: bool) -> None:
        if cold:
            self.cold.add(endpoint)
        else:
            self.cold.discard(endpoint)

    def collect(
        self, now: float, elapsed_ms: float, held: Mapping[int, tuple[int, float]]
    ) -> list[LaneReport]:
        """Reports of the lanes with recent activity, and resets the counts. `held`: number of messages and
        their total worth by destination."""
        share = 1.0 - math.exp(-elapsed_ms / ARRIVAL_SMOOTHING_MS)
        for counted in self.arrivals.values():
            counted[1] += share * (counted[0] * 1000.0 / max(elapsed_ms, 1.0) - counted[1])
            counted[0] = 0.0
        cold = {self.by_endpoint[endpoint].name for endpoint in self.cold if endpoint in self.by_endpoint}
        found = []
        for lane in self.lanes.values():
            count, worth = held.get(lane.destination, (0, 0.0))
            rate = self.arrivals.get(lane.destination, (0.0, 0.0))[1]
            if lane.sent:
                lane.size += 0.3 * (max(lane.messages / lane.sent, 1.0) - lane.size)
            busy = lane.sent or lane.taken or lane.refused or count or rate > 0.01
            lane.quiet_ms = 0.0 if busy else lane.quiet_ms + elapsed_ms
            if lane.quiet_ms > IDLE_REPORT_MS:
                continue
            found.append(
                LaneReport(
                    lane.name,
                    lane.group,
                    (rate + count * 1000.0 / BACKLOG_DRAIN_MS) / lane.size,
                    worth / count / self.cheapest if count else 1.0,
                    lane.sent,
                    lane.taken,
                    lane.refused,
                    max(lane.wait_until - now, 0.0),
                    lane.name in cold,
                )
            )
            lane.sent = lane.taken = lane.refused = lane.messages = 0.0
        return found

    def lane_of(self, name: str) -> int | str | None:
        """The decision module's key of the lane; None if it is unknown."""
        lane = self.lanes.get(name)
        if lane is None:
            return None
        return name[1:] if lane.group else lane.destination
