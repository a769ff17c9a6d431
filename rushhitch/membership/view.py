"""The seam between membership and those who use it: what a view owes them. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol


class State(IntEnum):
    """How a member is held. Of two words on the same incarnation the higher one holds."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3  # it said so itself


@dataclass(frozen=True, slots=True)
class Seen:
    """A member as this process holds it; `since` in seconds of the clock that the view is asked by."""

    name: str
    address: tuple[str, int]
    building: str
    incarnation: int
    state: State
    since: float
    one_way: bool = False  # the direct way to it fails, others reach it: a fact of the pair, no death


@dataclass(frozen=True, slots=True)
class Bounds:
    """How many members may be acting now, this process among them."""

    least: int  # of those it can talk to, as of one detection time ago; 1 in a part of one
    most: int  # all that cannot be proved gone, and those of the stated fleet that it never met
    leased: bool  # it was in touch with more than half of them of late: others still count it


class View(Protocol):
    """What users of the membership get. An implementation owes:

    - `bounds(now).most` is at no moment under the number of members that act, whatever this process fails to
      hear, as long as operators start no more than the stated fleet. What divides a limit goes by it.
    - `members(now)` are ordered by name, and hold this process too.
    - `subscribe` is called from the loop's thread with members that came or went, each at most once in the
      time of damping, so that one which flaps does not make users flap. It must not raise.
    """

    def members(self, now: float) -> list[Seen]:
        """All that are known, the gone and the left included while they are remembered."""

    def bounds(self, now: float) -> Bounds:
        """How many may be acting."""

    def subscribe(self, heard: Subscriber) -> None:
        """Call it with each damped change of a member from now on."""


class Subscriber(Protocol):
    """Hears of changes: the member as it is held now, and whether it counts as there."""

    def __call__(self, seen: Seen, there: bool) -> None: ...
