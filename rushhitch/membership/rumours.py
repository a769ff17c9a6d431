"""What a member passes on, and what its users are told: both bounded. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from rushhitch.membership.messages import Row, Vouch
from rushhitch.membership.view import Seen, State

DAMP_S = 2.0  # a change is told to users once it has held so long
DAMP_MOST_S = 30.0  # a member that flaps is told of so seldom


class Rumours:
    """What is to be passed on, that first which went out least."""

    def __init__(self) -> None:
        self.levels: list[OrderedDict[tuple[str, str], Row | Vouch]] = [OrderedDict()]
        self.times: dict[tuple[str, str], int] = {}

    def __contains__(self, key: tuple[str, str]) -> bool:
        return key in self.times

    def add(self, key: tuple[str, str], item: Row | Vouch) -> None:
        """What was told of the same before is out."""
        if (before := self.times.get(key)) is not None:
            del self.levels[before][key]
        self.times[key] = 0
        self.levels[0][key] = item

    def take(self, most: int, times: int) -> Iterator[Row | Vouch]:
        """Up to so many to go along now; each goes out so often at most."""
        told: list[tuple[tuple[str, str], Row | Vouch, int]] = []
        for level, items in enumerate(self.levels):
            while items and len(told) < most:  # what was never passed on: the newest first
                told.append((*items.popitem(last=level == 0), level + 1))
        for key, item, level in told:
            if level >= times:
                del self.times[key]
            else:
                if level == len(self.levels):
                    self.levels.append(OrderedDict())
                self.levels[level][key] = item
                self.times[key] = level
            yield item


@dataclass(slots=True)
class Damped:
    """What users were told of a member, and when a change may be told."""

    there: bool
    turned_at: float
    told_at: float = float("-inf")
    flaps: int = 0


class Damping:
    """Members that came or went, once that has held, and the seldomer the more they flap."""

    def __init__(self, own: str, now: float) -> None:
        self.known: dict[str, Damped] = {own: Damped(True, now, now)}

    def changes(self, now: float, members: Iterable[Seen]) -> list[tuple[Seen, bool]]:
        """What users are to be told now, with whether it is there."""
        found = []
        for seen in members:
            there = seen.state <= State.SUSPECT
            known = self.known.get(seen.name)
            if known is None:
                self.known[seen.name] = Damped(there, now, now)
                found.append((seen, there))
                continue
            if there == known.there:
                known.turned_at = now
                if now - known.told_at >= 4 * DAMP_MOST_S:
                    known.flaps = 0
                continue
            rest = min(DAMP_S * 2.0**known.flaps, DAMP_MOST_S)
            if now - known.turned_at >= DAMP_S and now - known.told_at >= rest:
                known.there, known.told_at, known.flaps = there, now, known.flaps + 1
                found.append((seen, there))
        return found
