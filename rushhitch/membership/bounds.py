"""Bounds on the number of members that may be acting. No I/O, no clock.

A member acts on shared resources while it holds its *lease*: it has been in touch with a majority of the
counted members for a *window*. A member is counted until proved gone: it announced that it leaves, a newer
process has its name, or it was held gone for `forget_s` while this process was in touch with a majority.

Such a proof lowers the upper bound only while a majority *agrees*, that is, has answered within the window
with the local digest. Any two majorities share a member. If that member met a new process before it agreed,
its digest would differ; if after, the new process still has to wait longer than the agreement lasts. So no
uncounted process acts. Without agreement the bound is at least the stated fleet size.
"""

from __future__ import annotations

from rushhitch.membership.table import Record, Table
from rushhitch.membership.view import Bounds, State

MIN_WINDOW_S = 4.0
PROBE_ROUNDS = 2.0  # of probing all members, for which an agreement lasts
DETECTION_S = 10.0  # exceeds the time to detect a killed member
LEASE_GRACE = 0.25  # of `forget_s`, for which a lease outlasts the loss of touch
WAIT_WINDOWS = 1.5  # windows in touch before a process acts; allows for clock rates and probes in flight


def window_s(table: Table, probe_s: float) -> float:
    """Duration of an agreement in seconds: at least two rounds of probes."""
    return max(MIN_WINDOW_S, PROBE_ROUNDS * probe_s * max(table.fleet, len(table.records)))


def proved_gone(record: Record, forget_s: float) -> bool:
    return record.state == State.LEFT or (record.state == State.GONE and record.gone_for >= forget_s)


def counted(table: Table, forget_s: float) -> int:
    """Number of members not proved gone, including those of the stated fleet that were never met."""
    proved = sum(proved_gone(record, forget_s) for record in table.departed.values())
    return max(len(table.records), table.fleet) - proved


def in_touch(table: Table, now: float, forget_s: float) -> bool:
    """Whether a majority of the counted members answered within half of `forget_s`."""
    answered = 1 + sum(now - record.answered_at < forget_s / 2.0 for record in table.there.values())
    return 2 * answered > counted(table, forget_s)


def agreed(table: Table, now: float, forget_s: float, window: float) -> bool:
    """Whether a majority of the counted members answered with the local digest within `window` seconds."""
    agreeing = 1 + sum(now - record.agreed_at < window for record in table.there.values())
    return 2 * agreeing > counted(table, forget_s)


class Lease:
    """Decides whether this process may act (see the module's description). Call `held` on every tick.

    A process that loses touch keeps the lease for `LEASE_GRACE` of `forget_s`. While it was in touch, no
    process in touch with a majority held it gone for long, since the member that both majorities share
    corrects that. So it is proved gone no earlier than `forget_s` later, less the time to converge.
    """

    def __init__(self) -> None:
        self.in_touch_since: float | None = None  # start of touch with a majority
        self.touch_lost_at: float | None = None
        self.checked_at = float("-inf")
        self.holds = False

    def held(self, table: Table, now: float, forget_s: float, window: float, pause_s: float) -> bool:
        gap, self.checked_at = now - self.checked_at, now
        # Time in which the process was paused or its clock jumped does not count as waiting.
        stood_still = gap > (max(pause_s, LEASE_GRACE * forget_s) if self.holds else pause_s)
        if in_touch(table, now, forget_s):
            self.touch_lost_at = None
            if self.in_touch_since is None or stood_still:
                self.in_touch_since = now
        elif self.in_touch_since is not None:
            self.touch_lost_at = now if self.touch_lost_at is None else self.touch_lost_at
            if stood_still or now - self.touch_lost_at >= LEASE_GRACE * forget_s:
                self.in_touch_since = None
        self.holds = self.in_touch_since is not None and now - self.in_touch_since >= WAIT_WINDOWS * window
        return self.holds


def bounds(
    table: Table, now: float, forget_s: float, probe_s: float, alone: bool, leased: bool, since: float
) -> Bounds:
    """Compute the bounds. `alone`: no member answers; `since`: when this process last resumed.

    An ALIVE member counts towards `least` if it answered a probe sent after `since` (or `DETECTION_S` passed,
    time enough to hear that it is gone), and answered within the last `PROBE_ROUNDS` of the present members.
    """
    reachable = 1
    if not alone:
        lately = max(MIN_WINDOW_S, PROBE_ROUNDS * probe_s * (len(table.there) + 1))
        for record in table.there.values():
            begun = max(record.since, since)
            answered = record.answered_at >= begun or now - begun >= DETECTION_S
            reachable += record.state == State.ALIVE and answered and now - record.answered_at < lately
    most = counted(table, forget_s)
    if not agreed(table, now, forget_s, window_s(table, probe_s)):
        most = max(most, table.fleet)
    return Bounds(reachable, most, leased)
