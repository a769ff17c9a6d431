"""Interface between membership and its users. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol


class State(IntEnum):
    """State of a member. For the same incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3  # announced by the member itself


@dataclass(frozen=True, slots=True)
class Seen:
    """A member as seen by this process; `since` in seconds of the clock passed to the view."""

    name: str
    address: tuple[str, int]
    building: str
    incarnation: int
    state: State
    since: float
    one_way: bool = False  # reachable by others only: a fault of the path, not of the member


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds on the number of members that may be acting now, this process included."""

    least: int  # members reachable as of one detection time ago; 1 when isolated
    most: int  # members not proved gone, including those of the stated fleet never met
    leased: bool  # holds a lease: recently in touch with a majority, so others still count it


class View(Protocol):
    """Membership as offered to its users. Invariants of an implementation:

    - `bounds(now).most` is never below the number of acting members, whatever messages are lost, as long as
      operators start no more than the stated fleet. Users that divide a limit rely on it.
    - `members(now)` is ordered by name and includes this process.
    - Subscribers are called from the loop's thread, per member at most once in each damping interval, so that
      a flapping member does not make users flap. They must not raise.
    """

    def members(self, now: float) -> list[Seen]:
        """All known members, including those gone or left while they are remembered."""

    def bounds(self, now: float) -> Bounds:
        """Bounds on the number of acting members."""

    def subscribe(self, heard: Subscriber) -> None:
        """Call `heard` with each damped change of a member from now on."""


class Subscriber(Protocol):
    """Callback for changes: the member as seen now, and whether it counts as present."""

    def __call__(self, seen: Seen, there: bool) -> None: ...
