"""Gossip queue and damping of change notifications; both bound their volume. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from rushhitch.membership.messages import Row, Vouch
from rushhitch.membership.view import Seen, State

DAMPING_S = 2.0  # a change must last this long before subscribers are notified
MAX_DAMPING_S = 30.0  # longest interval between notifications of a flapping member


class Rumours:
    """Queue of rows and vouches to gossip; those sent the fewest times go first."""

    def __init__(self) -> None:
        self.levels: list[OrderedDict[tuple[str, str], Row | Vouch]] = [OrderedDict()]
        self.times: dict[tuple[str, str], int] = {}

    def __contains__(self, key: tuple[str, str]) -> bool:
        return key in self.times

    def add(self, key: tuple[str, str], item: Row | Vouch) -> None:
        """Queue an item; it replaces the one with the same key and resets its count of sends."""
        if (before := self.times.get(key)) is not None:
            del self.levels[before][key]
        self.times[key] = 0
        self.levels[0][key] = item

    def take(self, most: int, times: int) -> Iterator[Row | Vouch]:
        """Yield up to `most` items to send now; an item is removed once it was sent `times` times."""
        taken: list[tuple[tuple[str, str], Row | Vouch, int]] = []
        for level, items in enumerate(self.levels):
            while items and len(taken) < most:  # of items never sent, the newest first
                taken.append((*items.popitem(last=level == 0), level + 1))
        for key, item, level in taken:
            if level >= times:
                del self.times[key]
            else:
                if level == len(self.levels):
                    self.levels.append(OrderedDict())
                self.levels[level][key] = item
                self.times[key] = level
            yield item


@dataclass(slots=True)
class DampedMember:
    """What subscribers were last told about a member; times in seconds."""

    present: bool
    consistent_at: float
    notified_at: float = float("-inf")
    flaps: int = 0


class Damping:
    """Notifies of members that came or went, with an interval that doubles with each flap."""

    def __init__(self, own: str, now: float) -> None:
        self.known: dict[str, DampedMember] = {own: DampedMember(True, now, now)}

    def changes(self, now: float, members: Iterable[Seen]) -> list[tuple[Seen, bool]]:
        """Changes to notify subscribers of now, each with whether the member is present."""
        changes_due = []
        for seen in members:
            present = seen.state <= State.SUSPECT
            known = self.known.get(seen.name)
            if known is None:
                self.known[seen.name] = DampedMember(present, now, now)
                changes_due.append((seen, present))
                continue
            if present == known.present:
                known.consistent_at = now
                if now - known.notified_at >= 4 * MAX_DAMPING_S:
                    known.flaps = 0
                continue
            interval = min(DAMPING_S * 2.0**known.flaps, MAX_DAMPING_S)
            if now - known.consistent_at >= DAMPING_S and now - known.notified_at >= interval:
                known.present, known.notified_at, known.flaps = present, now, known.flaps + 1
                changes_due.append((seen, present))
        return changes_due
