"""What came of a run, in figures. Pure: a history goes in."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from crowpier.interface import MessageClass, Settings
from lab.history import TOLD_OVER, Event
from lab.rules import Seen

WINDOW_MS = 1_000.0  # pressure is counted in sliding windows of this length


@dataclass(slots=True)
class Line:
    """First tries, and how they ended, of a class at a partner."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    open: int = 0
    worth: float = 0.0
    most: float = 0.0
    delays: list[float] = field(default_factory=list)

    def add(self, other: Line) -> None:
        for name in ("asked", "in_time", "late", "refused", "failed", "open", "worth", "most"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.delays += other.delays


def worth(cls: MessageClass, delay: float) -> float:
    """In full within the aim, then half as much with each further aim, down to the late worth."""
    if delay <= cls.aim_ms:
        return cls.worth
    share = max(0.5 ** ((delay - cls.aim_ms) / cls.aim_ms), cls.late_worth)
    return cls.worth * share if delay <= cls.deadline_ms else 0.0


def lines(events: list[Event], settings: Settings) -> dict[tuple[int, str], Line]:
    """By destination and class. A client's retries belong to its first try."""
    seen = Seen(events, settings)
    tries: defaultdict[str, list[str]] = defaultdict(list)
    for name, offer in seen.offers.items():
        tries[offer["first"]].append(name)
    found: defaultdict[tuple[int, str], Line] = defaultdict(Line)
    for origin, names in tries.items():
        offer = seen.offers[origin]
        cls = seen.classes[offer["cls"]]
        line = found[offer["dest"], offer["cls"]]
        line.asked += 1
        line.most += cls.worth
        done = min(seen.delivered_at(name) for name in names)
        last = names[-1]
        if done < math.inf:
            delay = done - offer["at"]
            line.delays.append(delay)
            line.worth += worth(cls, delay)
            line.in_time += delay <= cls.aim_ms
            line.late += delay > cls.aim_ms
        elif seen.notices[last]:
            line.failed += seen.notices[last][0]["result"] == "dead"
            line.refused += seen.notices[last][0]["result"] == "bounced"
        elif last in seen.answers and seen.answers[last]["answer"] == "busy":
            line.refused += 1
        elif last in seen.answers and seen.answers[last]["answer"] != "ok":
            line.failed += 1
        else:
            line.open += 1
    return dict(found)


def told_over(events: list[Event]) -> tuple[int, int]:
    """Messages that a dispatcher was told are over or have had all their attempts (410, 504, in a batch
    `expired`, `no_more`), and how often it was told so: once each, where no such message is sent again."""
    told = Counter(
        name
        for event in events
        if event["what"] == "reply"
        for name, end in event["ends"].items()
        if end in TOLD_OVER
    )
    return len(told), told.total()


def failed_unrun(events: list[Event], settings: Settings) -> list[str]:
    """Messages that were ended as failed before seven tenths of their time though no call of theirs may have
    run, and none was answered that no further one can succeed. No rule forbids it; it has its price."""
    seen = Seen(events, settings)
    found = []
    for name, notices in seen.notices.items():
        offer, at = seen.offers[name], notices[0]["at"]
        early = at < offer["at"] + 0.7 * offer["left_ms"] and notices[0]["result"] == "dead"
        ends = {call.ends.get(name) for call in seen.by_id[name] if call.done <= at}
        unrun = all(call.never_ran(name, at) for call in seen.by_id[name])
        if early and unrun and not ends & TOLD_OVER:
            found.append(name)
    return found


def quantile(values: list[float], share: float) -> float:
    """Of a sample; nan where it is empty."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else math.nan


def pressure(times: list[float], per_s: float, window_ms: float = WINDOW_MS) -> tuple[float, float]:
    """Of `windows`, the 95th percentile and the worst. Zero where there is no limit."""
    shares = windows(times, per_s, window_ms)
    return (quantile(shares, 0.95), max(shares)) if shares else (0.0, 0.0)


def windows(times: list[float], per_s: float, window_ms: float = WINDOW_MS) -> list[float]:
    """Calls in windows that begin at each call, over what the limit allows in one."""
    if per_s == math.inf:
        return []
    shares, end = [], 0
    for start, first in enumerate(times):
        while end < len(times) and times[end] < first + window_ms:
            end += 1
        shares.append((end - start) / (per_s * window_ms / 1000.0))
    return shares


def table(rows: list[tuple[str, ...]]) -> str:
    """Aligned columns; the first row is the head, numbers stand to the right."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    out = []
    for row in rows:
        cells = [
            cell.ljust(width) if column < 2 else cell.rjust(width)
            for column, (cell, width) in enumerate(zip(row, widths, strict=True))
        ]
        out.append("  ".join(cells).rstrip())
    return "\n".join(out)
