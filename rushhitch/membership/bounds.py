"""How many members may be acting. No I/O, no clock.

A member acts, on what is shared, while it holds its *lease*: it is in touch with more than half of all that
count, and has been for a *window*. It counts until it is proved gone: it said that it leaves, a newer process
has its name, or it was held gone for `forget_s` while this process was in touch with more than half.

A proof lowers the upper bound only while more than half *agree*: they have answered within the window with
the very digest that is held here. Two halves of more than half have a member in common. If that one had met a
new process before it agreed, its digest would have told; if after, the new process has yet to wait for longer
than the agreement lasts. So no process acts that is not counted, also where nothing is heard: then all that
operators state may be acting.
"""

from __future__ import annotations

from rushhitch.membership.table import Record, Table
from rushhitch.membership.view import Bounds, State

LEAST_WINDOW_S = 4.0
ROUNDS = 2.0  # of probes of all members, which an agreement lasts
HEARSAY_S = 10.0  # above the time in which a kill is found
KEEP = 0.25  # of `forget_s`: so long a process acts on that has lost touch
WAIT = 1.5  # windows that a process waits before it acts: clocks differ, and probes are on their way


def window_s(table: Table, probe_s: float) -> float:
    """How long an agreement lasts: long enough for two rounds of probes."""
    return max(LEAST_WINDOW_S, ROUNDS * probe_s * max(table.fleet, len(table.records)))


def proved_gone(record: Record, forget_s: float) -> bool:
    return record.state == State.LEFT or (record.state == State.GONE and record.gone_for >= forget_s)


def counted(table: Table, forget_s: float) -> int:
    """All that cannot be proved gone, and those of the stated fleet that were never met."""
    proved = sum(proved_gone(record, forget_s) for record in table.over.values())
    return max(len(table.records), table.fleet) - proved


def in_touch(table: Table, now: float, forget_s: float) -> bool:
    """Whether more than half of all that count have answered within half of `forget_s`."""
    heard = 1 + sum(now - record.answered_at < forget_s / 2.0 for record in table.there.values())
    return 2 * heard > counted(table, forget_s)


def agreed(table: Table, now: float, forget_s: float, window: float) -> bool:
    """Whether more than half of all that count hold what is held here."""
    alike = 1 + sum(now - record.agreed_at < window for record in table.there.values())
    return 2 * alike > counted(table, forget_s)


class Lease:
    """Whether this process acts: see above. Ask it again whenever time has passed.

    One that loses touch acts on for `KEEP` of `forget_s`. While it was in touch, nobody else who was in touch
    with more than half held it gone for long: they have a member in common, which tells. So whoever proves it
    gone does so `forget_s` later, less the time in which views become alike.
    """

    def __init__(self) -> None:
        self.touched_at: float | None = None  # when it came into touch with more than half
        self.lost_at: float | None = None
        self.asked_at = float("-inf")
        self.holds = False

    def held(self, table: Table, now: float, forget_s: float, window: float, pause_s: float) -> bool:
        gap, self.asked_at = now - self.asked_at, now
        # Who waits has not waited while it stood still, or while its clock jumped.
        stood_still = gap > (max(pause_s, KEEP * forget_s) if self.holds else pause_s)
        if in_touch(table, now, forget_s):
            self.lost_at = None
            if self.touched_at is None or stood_still:
                self.touched_at = now
        elif self.touched_at is not None:
            self.lost_at = now if self.lost_at is None else self.lost_at
            if stood_still or now - self.lost_at >= KEEP * forget_s:
                self.touched_at = None
        self.holds = self.touched_at is not None and now - self.touched_at >= WAIT * window
        return self.holds


def bounds(
    table: Table, now: float, forget_s: float, probe_s: float, alone: bool, leased: bool, since: float
) -> Bounds:
    """`alone`: nobody answers this process. It woke `since` then. One that is held alive counts as there once
    it has answered what was asked since, or once there was time to hear otherwise; and for as long as it has
    answered within `ROUNDS` of probes of those that are there."""
    talks = 1
    if not alone:
        lately = max(LEAST_WINDOW_S, ROUNDS * probe_s * (len(table.there) + 1))
        for record in table.there.values():
            begun = max(record.since, since)
            heard = record.answered_at >= begun or now - begun >= HEARSAY_S
            talks += record.state == State.ALIVE and heard and now - record.answered_at < lately
    most = counted(table, forget_s)
    if not agreed(table, now, forget_s, window_s(table, probe_s)):
        most = max(most, table.fleet)
    return Bounds(talks, most, leased)
