"""Whose word on a member holds: rows by name, merged so that order, repeats and loss make no difference.

A row holds against another by its incarnation first, then by the process that drew the higher number, then by
its state. A member raises its own incarnation where others hold it suspect or gone; nobody else does. So an
old incarnation never overrides a newer one, and a repeated row changes nothing.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import Enum

from rushhitch.membership.messages import MOST_BY, Row
from rushhitch.membership.view import State

MOST_FORGOTTEN = 4  # times the stated fleet: so many that left or went are remembered


@dataclass(slots=True)
class Record:
    """A member as it is held here; times in seconds by the clock of this process."""

    row: Row
    since: float  # in this state
    by: set[str] = field(default_factory=set)  # who could not reach it, in this incarnation
    vouched: dict[str, int] = field(default_factory=dict)  # by teller, the number of its last word
    suspected_at: float = 0.0
    answered_at: float = float("-inf")  # when the newest ping that it answered was sent
    agreed_at: float = float("-inf")  # the same, of one that it answered with the digest that is held here
    gone_for: float = 0.0  # seconds held gone while this process was in touch with more than half

    @property
    def state(self) -> State:
        return State(self.row.state)

    @property
    def present(self) -> bool:
        return self.row.state <= State.SUSPECT


class Merged(Enum):
    """What a row did."""

    NOTHING = "it was known, or is old"
    CHANGED = "it holds now"
    WITNESS = "one more could not reach a member that is suspect"
    REFUTED = "it was about this process, which has raised its incarnation"
    DISPLACED = "a newer process has this name"


def rank(row: Row) -> tuple[int, int, int]:
    return (row.incarnation, row.process, row.state)


def mark(row: Row) -> int:
    """64 bits of what members have to agree on; suspicions come and go and are left out."""
    held = row.state if row.state >= State.GONE else State.ALIVE
    text = f"{row.name}\0{row.incarnation}\0{row.process}\0{held}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


class Table:
    """The rows of all members, this process's own among them."""

    def __init__(self, own: Row, now: float, fleet: int) -> None:
        self.name, self.process, self.fleet = own.name, own.process, fleet
        self.records = {own.name: Record(own, now)}
        self.digest = mark(own)
        self.there: dict[str, Record] = {}  # the others that are not held gone
        self.over: dict[str, Record] = {}  # the others that are, or have left
        self.suspects: set[str] = set()
        self.gone: set[str] = set()
        self.settled = False  # past its joining: a namesake that comes now is a newer process
        self.displaced = False

    @property
    def own(self) -> Row:
        return self.records[self.name].row

    def others(self) -> list[Record]:
        """The members beside this process that are not held gone."""
        return list(self.there.values())

    def sort_in(self, record: Record) -> None:
        name, state = record.row.name, record.state
        if name == self.name:
            return
        for names, held in ((self.suspects, State.SUSPECT), (self.gone, State.GONE)):
            (names.add if state == held else names.discard)(name)
        now, before = (self.there, self.over) if record.present else (self.over, self.there)
        now[name] = record
        before.pop(name, None)

    def merge(self, row: Row, now: float) -> Merged:
        """Take a row that another told."""
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
                known.vouched.clear()
            self.change(known, row, now)
            return Merged.CHANGED
        if rank(row) == rank(known.row) and row.state == State.SUSPECT and not known.by >= set(row.by):
            known.by |= set(row.by)
            return Merged.WITNESS
        return Merged.NOTHING

    def merge_own(self, row: Row, now: float) -> Merged:
        """A row about this process's name: of itself, of the one before it, or of another one beside it."""
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
        # The process before this one, or one that took the name and is over.
        self.displaced = False
        self.set_own(own._replace(incarnation=row.incarnation + 1, state=State.ALIVE), now)
        return Merged.REFUTED

    def set_own(self, row: Row, now: float) -> None:
        self.change(self.records[self.name], row, now)

    def hold(self, name: str, state: State, now: float, by: str = "") -> bool:
        """This process's own verdict on another's present incarnation; False where it changes nothing."""
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
        self.sort_in(record)

    def put(self, record: Record) -> None:
        record.row = record.row._replace(by=())
        self.records[record.row.name] = record
        self.digest ^= mark(record.row)
        self.sort_in(record)
        if len(self.over) >= MOST_FORGOTTEN * max(self.fleet, 8):
            oldest = min(self.over.values(), key=lambda r: (r.row.state != State.LEFT, r.since))
            del self.records[oldest.row.name]
            del self.over[oldest.row.name]
            self.gone.discard(oldest.row.name)
            self.digest ^= mark(oldest.row)

    def told(self, record: Record) -> Row:
        """The row as it goes to others, with its witnesses where it is suspect."""
        if record.state != State.SUSPECT:
            return record.row
        return record.row._replace(by=tuple(sorted(record.by)[:MOST_BY]))

    def all_rows(self) -> list[Row]:
        return [self.told(record) for record in self.records.values()]
