"""What membership is measured against: the simplest schemes that could do, on the same simulation.

They keep the detector's table and messages, so that the same history and checker see them.
"""

from __future__ import annotations

import math
import random

from rushhitch.membership.detector import Detector, Tuning
from rushhitch.membership.messages import Message, Output, Ping, Row, Vouch
from rushhitch.membership.table import Record
from rushhitch.membership.view import State

BEAT_S = 0.5
SILENT_S = 2.0  # gone after so long: with the beat, found as soon as by the detector


class Heartbeats(Detector):
    """A beat to all, and a fixed time-out."""

    def __init__(self, own: Row, tuning: Tuning, chance: random.Random, now: float) -> None:
        super().__init__(own, tuning, chance, now)
        self.heard: dict[str, float] = {}
        self.next_beat = now

    def tick(self, now: float) -> list[Output]:
        self.room = 1e9
        if now >= self.next_beat:
            self.next_beat = now + BEAT_S
            for record in self.table.records.values():
                if record.row.name != self.table.name:
                    self.send(record.row, Ping(self.table.own, self.number(), 0))
            self.look_for_seeds(now)
        for record in self.table.others():
            if now - self.heard.setdefault(record.row.name, now) >= SILENT_S:
                self.table.hold(record.row.name, State.GONE, now)
        return self.taken()

    def receive(self, now: float, message: Message) -> list[Output]:
        who = message.me
        for row in (who, *message.news):
            known = self.table.records.get(row.name)
            if known is None or row[4:6] > known.row[4:6]:
                self.table.merge(row, now)
                if known is None:
                    self.spread(self.table.records[row.name])
        if (record := self.table.records.get(who.name)) is not None and who.name != self.table.name:
            self.heard[who.name] = now
            if not record.present:
                self.table.change(record, record.row._replace(state=int(State.ALIVE)), now)
        return self.taken()


class PlainSwim(Detector):
    """SWIM with suspicion of a fixed time, and without doubt of itself: no pause is noticed, no witness is
    asked, nobody vouches."""

    def wake(self, now: float) -> None:
        self.room = min(self.room + 16.0 * max(now - self.ticked_at, 0.0), 64.0)
        self.ticked_at = now
        self.ill = 0

    def alone(self, now: float, longer_s: float = 0.0) -> bool:
        return False

    def lasts(self, record: Record) -> float:
        return self.tuning.suspect_s * max(1.0, math.log10(len(self.table.there) + 1))

    def hear_vouch(self, now: float, vouch: Vouch) -> None:
        pass

    def bury(self, now: float) -> None:
        for name in list(self.table.suspects):
            record = self.table.records[name]
            if self.overdue(now, record):
                self.table.hold(name, State.GONE, now)
                self.gone_tries[name] = (now + 2.0, 2.0)
                self.spread(record)
