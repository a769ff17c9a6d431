"""Membership table: rows by member name, merged so that reordered, repeated or lost updates do no harm.

Rows are ordered by incarnation, then process number, then state; the higher one wins. Only a member itself
raises its incarnation, when others hold it suspect or gone. Hence an old incarnation never overrides a newer
one, and merging is idempotent.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import Enum

from rushhitch.membership.messages import MAX_WITNESSES, Row
from rushhitch.membership.view import State

DEPARTED_PER_FLEET = 4  # limit of departed members remembered, as a multiple of the stated fleet size


@dataclass(slots=True)
class Record:
    """Local state of a member; times in seconds of this process's clock."""

    row: Row
    since: float  # start of the current state
    by: set[str] = field(default_factory=set)  # members that could not reach this incarnation
    vouch_numbers: dict[str, int] = field(default_factory=dict)  # voucher's name -> number of its last vouch
    suspected_at: float = 0.0
    answered_at: float = float("-inf")  # send time of the newest ping that it answered
    agreed_at: float = float("-inf")  # the same, for an answer with the local digest
    gone_for: float = 0.0  # seconds in state GONE while this process was in touch with a majority

    @property
    def state(self) -> State:
        return State(self.row.state)

    @property
    def present(self) -> bool:
        return self.row.state <= State.SUSPECT


class Merged(Enum):
    """Result of merging a row."""

    NOTHING = "already known or outdated"
    CHANGED = "replaced the held row"
    WITNESS = "added a witness to a suspicion"
    REFUTED = "this process raised its incarnation"
    DISPLACED = "a newer process owns this name"


def rank(row: Row) -> tuple[int, int, int]:
    return (row.incarnation, row.process, row.state)


def mark(row: Row) -> int:
    """64-bit hash of what members must agree on. SUSPECT counts as ALIVE, since suspicions are transient."""
    held = row.state if row.state >= State.GONE else State.ALIVE
    text = f"{row.name}\0{row.incarnation}\0{row.process}\0{held}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


class Table:
    """Records of all members, this process included."""

    def __init__(self, own: Row, now: float, fleet: int) -> None:
        self.name, self.process, self.fleet = own.name, own.process, fleet
        self.records = {own.name: Record(own, now)}
        self.digest = mark(own)
        self.there: dict[str, Record] = {}  # other members in state ALIVE or SUSPECT
        self.departed: dict[str, Record] = {}  # other members in state GONE or LEFT
        self.suspects: set[str] = set()
        self.gone: set[str] = set()
        self.settled = False  # joining is complete: another process with this name is newer from now on
        self.displaced = False

    @property
    def own(self) -> Row:
        return self.records[self.name].row

    def others(self) -> list[Record]:
        """Records of the other members in state ALIVE or SUSPECT."""
        return list(self.there.values())

    def reindex(self, record: Record) -> None:
        name, state = record.row.name, record.state
        if name == self.name:
            return
        for names, held in ((self.suspects, State.SUSPECT), (self.gone, State.GONE)):
            (names.add if state == held else names.discard)(name)
        now, before = (self.there, self.departed) if record.present else (self.departed, self.there)
        now[name] = record
        before.pop(name, None)

    def merge(self, row: Row, now: float) -> Merged:
        """Merge a row received from another member."""
        if row.name == self.name:
            return self.merge_own(row, now)
        known = self.records.get(row.name)
        if known is None:
            self.put(Record(row, now, set(row.by), suspected_at=now))
            return Merged.CHANGED
        if rank(row) > rank(known.row):
            same = row[4:6] == known.row[4:6]
            known.by = (known.by if same else set()) | set(row.by)
            if not same:
                known.vouch_numbers.clear()
            self.change(known, row, now)
            return Merged.CHANGED
        if rank(row) == rank(known.row) and row.state == State.SUSPECT and not known.by >= set(row.by):
            known.by |= set(row.by)
            return Merged.WITNESS
        return Merged.NOTHING

    def merge_own(self, row: Row, now: float) -> Merged:
        """Merge a row with this process's name: its own, its predecessor's or a concurrent process's."""
        own = self.own
        if row.process == self.process:
            if row.state == State.ALIVE or row.incarnation < own.incarnation or own.state == State.LEFT:
                return Merged.NOTHING
            self.displaced = False
            self.set_own(own._replace(incarnation=row.incarnation + 1, state=State.ALIVE), now)
            return Merged.REFUTED
        if rank(row)[:2] <= rank(own)[:2] or own.state == State.LEFT:
            return Merged.NOTHING
        if self.settled and row.state <= State.SUSPECT:
            self.displaced = True
            return Merged.DISPLACED
        # From the predecessor, or from a process that took the name and has ended.
        self.displaced = False
        self.set_own(own._replace(incarnation=row.incarnation + 1, state=State.ALIVE), now)
        return Merged.REFUTED

    def set_own(self, row: Row, now: float) -> None:
        self.change(self.records[self.name], row, now)

    def hold(self, name: str, state: State, now: float, by: str = "") -> bool:
        """Apply this process's verdict on a member's current incarnation; False if the state stays."""
        record = self.records[name]
        if by:
            record.by.add(by)
        if state <= record.state:
            return False
        if state == State.SUSPECT:
            record.suspected_at = now
        self.change(record, record.row._replace(state=int(state)), now)
        return True

    def change(self, record: Record, row: Row, now: float) -> None:
        if row.state != record.row.state:
            record.since = now
            if row.state == State.SUSPECT:
                record.suspected_at = now
            record.gone_for = 0.0
        self.digest ^= mark(record.row) ^ mark(row)
        record.row = row._replace(by=())
        if row.state == State.ALIVE:
            record.by.clear()
        self.reindex(record)

    def put(self, record: Record) -> None:
        record.row = record.row._replace(by=())
        self.records[record.row.name] = record
        self.digest ^= mark(record.row)
        self.reindex(record)
        if len(self.departed) >= DEPARTED_PER_FLEET * max(self.fleet, 8):
            oldest = min(self.departed.values(), key=lambda r: (r.row.state != State.LEFT, r.since))
            del self.records[oldest.row.name]
            del self.departed[oldest.row.name]
            self.gone.discard(oldest.row.name)
            self.digest ^= mark(oldest.row)

    def gossip_row(self, record: Record) -> Row:
        """The row as sent to others, with up to `MAX_WITNESSES` witnesses while it is suspect."""
        if record.state != State.SUSPECT:
            return record.row
        return record.row._replace(by=tuple(sorted(record.by)[:MAX_WITNESSES]))

    def all_rows(self) -> list[Row]:
        return [self.gossip_row(record) for record in self.records.values()]
