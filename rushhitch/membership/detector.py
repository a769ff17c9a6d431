"""Failure detection: probes, suspicion, doubt of oneself, dissemination. No I/O, no clock.

SWIM's probes with Lifeguard's doubts, and four rules of our own (`docs/design/membership.md`): only an answer
to one's own question is a sign of life, and counts by when it was asked; a suspicion is looked into by a few
others, who witness or vouch; nobody is held gone on one word, where another could be asked; and whoever stood
still, or hears nobody, gives no verdict.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from rushhitch.membership.bounds import LEASE_GRACE, Lease, bounds, in_touch, window_s
from rushhitch.membership.messages import (
    Ack,
    Ask,
    Exchange,
    Message,
    Output,
    Ping,
    Relayed,
    Row,
    Send,
    Vouch,
    Warn,
)
from rushhitch.membership.rumours import Damping, Rumours
from rushhitch.membership.table import Merged, Record, Table
from rushhitch.membership.view import Bounds, Seen, State

MOST_ILL = 8  # of one's own doubt: Lifeguard's local health multiplier
LATE_S = 3.0  # an answer that comes so late still tells that its member lived when it was asked
RELAYS = 3  # others asked to ping who did not answer
LATELY = 8  # they are chosen from so many
WITNESSES = 2  # beside the one who suspects, where as many can be asked
LOOKERS = 8.0  # of all who hear of a suspicion, about so many look for themselves
RUMOURS = 1.5  # a row goes out so often, times the logarithm of the members
MOST_SPREAD = 64  # rows of an exchange: of a longer one the others learn by exchanges of their own
NEWS = 8  # rows in a datagram: below 1,200 bytes with all else
ROWS_S = 16.0  # rows passed on a second: 1.1 kB. What has no room in that goes by an exchange of all
MOST_ROOM = 64.0  # of them, saved up by a quiet time: a burst of kills is told at once
SEEDS_S = 1.0  # between two tries of the seeds while nobody is known
MISSING_S = 5.0  # between two tries of one seed that is no member: there may be another part of the fleet
GONE_S = 2.0  # between two tries of one that is gone; doubled for each with nothing heard, up to
GONE_MOST_S = 60.0
SETTLE_S = 2.0  # after the start, one with our name is the process before this one
DISPLACED_S = 5.0  # between two questions whether a newer process of our name is still there
EXCHANGE_S = 2.0  # between two exchanges, and the more the more members there are
DIFFERS = 3  # probes in a row whose digest differs, before rows are exchanged


@dataclass(frozen=True, slots=True)
class Tuning:
    """Times in seconds."""

    probe_s: float = 0.2  # between two probes
    direct_s: float = 0.15  # an answer is waited for so long at least, and three usual round trips
    verdict_s: float = 0.45  # from the probe to its failure, relays included
    suspect_s: float = 0.8  # a suspicion lasts so long at least, and more by the logarithm of the members
    patience: float = 5.0  # times that, where nobody witnesses
    pause_s: float = 0.5  # between two ticks: longer, and this process stood still
    forget_s: float = 600.0  # `bounds`
    fleet: int = 1  # the number of members that operators state


@dataclass(slots=True)
class Probe:
    """A question that is out. `asked_by` is who wanted it, and their number for it."""

    target: str
    sent_at: float
    again_at: float  # a second ping, where the first or its answer was lost
    relays_at: float
    ends_at: float
    asked_again: bool = False
    relays: int = 0
    answers: int = 0  # of relays, either way
    over: bool = False  # judged: a late answer still tells something
    asked_by: tuple[Row, int] | None = None


@dataclass(slots=True)
class Counts:
    """For operators."""

    probes: int = 0
    failed: int = 0
    suspicions: int = 0
    burials: int = 0
    refuted: int = 0
    pauses: int = 0
    exchanges: int = 0
    changes: int = 0  # of the view


@dataclass(slots=True)
class Way:
    """The direct way to a member: its usual round trip, and whether probes fail on it that relays carry."""

    trip_s: float = 0.0
    failing: int = 0


class Detector:
    """One member. `tick` every 0.1 s or so, `receive` what comes; both give what to do."""

    def __init__(self, own: Row, tuning: Tuning, chance: random.Random, now: float) -> None:
        self.tuning, self.chance = tuning, chance
        self.table = Table(own, now, tuning.fleet)
        self.started_at = self.ticked_at = self.woke_at = now
        self.ill = 0  # 0 to `MOST_ILL`: so much longer are one's own verdicts
        self.seq = 0
        self.probes: dict[int, Probe] = {}
        self.round: list[str] = []
        self.urgent: list[str] = []
        self.next_probe = now
        self.newer: Row | None = None  # who took this process's name, where it was taken
        self.rumours = Rumours()
        self.vouches = 0
        self.seeds: list[tuple[str, int]] = []
        self.next_seed = now
        self.gone_tries: dict[str, tuple[float, float]] = {}  # when next, and how long after that
        self.ways: dict[str, Way] = {}
        self.differs = 0
        self.next_exchange = now
        self.heard_at = now  # when the newest question was asked that anybody answered
        self.damping = Damping(own.name, now)
        self.counts = Counts()
        self.gone_gap = 0.0
        self.lease = Lease()
        self.leased = False
        self.room = MOST_ROOM  # rows that may be passed on now
        self.out: list[Output] = []

    # What is asked of it

    def join(self, seeds: Iterable[tuple[str, int]]) -> None:
        """Look for the fleet there, for as long as nobody is known."""
        own = (self.table.own.host, self.table.own.port)
        self.seeds = [seed for seed in seeds if seed != own]

    def tick(self, now: float) -> list[Output]:
        """What time brings."""
        self.wake(now)
        for seq in [seq for seq, probe in self.probes.items() if now >= probe.ends_at + LATE_S]:
            del self.probes[seq]
        for seq, probe in list(self.probes.items()):
            if not probe.over:
                self.follow(now, seq, probe)
        self.bury(now)
        if self.table.own.state != State.LEFT and not self.table.displaced:
            while now >= self.next_probe:
                self.next_probe = max(self.next_probe, now - self.tuning.probe_s) + self.tuning.probe_s * (
                    1.0 + self.ill / 2.0
                )
                self.probe_next(now)
            self.look_for_seeds(now)
            self.look_for_gone(now)
        elif self.table.displaced and now >= self.next_probe:
            self.next_probe = now + DISPLACED_S
            others = [record.row for record in self.table.others()]
            asked = self.chance.sample(others, min(1, len(others)))
            for row in asked if self.newer is None else [*asked, self.newer]:
                self.send(row, Ping(self.table.own, self.number(), self.table.digest))
        window = window_s(self.table, self.tuning.probe_s)
        words = (self.tuning.forget_s, window, self.tuning.pause_s)
        self.leased = self.lease.held(self.table, now, *words) and not self.table.displaced
        self.table.settled |= now - self.started_at >= SETTLE_S
        return self.taken()

    def receive(self, now: float, message: Message) -> list[Output]:
        """A message that its sender has proved to be from the fleet."""
        self.wake(now)
        me, own = message.me, self.table.own
        if own.state == State.LEFT:
            return self.taken()
        if me.name == own.name and me.process != own.process and not self.table.displaced:
            self.out.append(Warn(f"another process, at {me.host}:{me.port}, claims our name {me.name}"))
        known = self.table.records.get(me.name)
        stranger = known is None
        self.hear(now, me)
        for row in message.news:
            self.hear(now, row)
        for vouch in message.vouches:
            self.hear_vouch(now, vouch)
        if self.table.displaced:
            return self.taken()
        match message:
            case Ping():
                self.reply(me, Ack(self.table.own, message.seq, self.table.digest))
            case Ask():
                self.start(now, message.target, asked_by=(me, message.seq))
            case Ack():
                self.answered(now, message.seq, me, message.digest)
            case Relayed():
                self.relayed(now, message.seq, message.answered)
        self.compare(now, message, stranger)
        return self.taken()

    def merge(self, now: float, rows: Iterable[Row]) -> list[Output]:
        """All rows of another, by an exchange."""
        self.wake(now)
        rows = list(rows)
        for row in rows:
            self.hear(now, row, spread=len(rows) <= MOST_SPREAD)
        self.differs = 0
        return self.taken()

    def leave(self, now: float) -> list[Output]:
        """Say so to a few: they pass it on."""
        own = self.table.own
        if self.table.displaced or own.state == State.LEFT:
            return []
        self.table.set_own(own._replace(state=int(State.LEFT)), now)
        there = self.table.others()
        for record in self.chance.sample(there, min(len(there), 2 * RELAYS)):
            self.send(record.row, Ping(self.table.own, self.number(), self.table.digest))
        return self.taken()

    # The view

    def members(self, now: float) -> list[Seen]:
        alone = self.alone(now, self.tuning.suspect_s * self.tuning.patience)
        return [
            Seen(
                r.row.name,
                (r.row.host, r.row.port),
                r.row.building,
                r.row.incarnation,
                State.GONE if alone and r.present and r.row.name != self.table.name else r.state,
                r.since,
                (way := self.ways.get(r.row.name)) is not None and way.failing >= DIFFERS and r.present,
            )
            for _, r in sorted(self.table.records.items())
        ]

    def bounds(self, now: float) -> Bounds:
        """As of now: a process that stood still, and has not ticked since, holds no lease."""
        alone = self.alone(now) and len(self.table.records) > 1
        leased = self.leased and now - self.ticked_at < LEASE_GRACE * self.tuning.forget_s
        words = (self.tuning.forget_s, self.tuning.probe_s)
        return bounds(self.table, now, *words, alone, leased, self.woke_at)

    def alone(self, now: float, longer_s: float = 0.0) -> bool:
        """Whether nobody answers: then what is not heard is no news of others."""
        waited = self.tuning.verdict_s * 2.0 + self.tuning.probe_s * (1 + self.ill)
        return now - self.heard_at >= waited + max(self.tuning.suspect_s, longer_s)

    def changes(self, now: float) -> list[tuple[Seen, bool]]:
        """What users are to be told: members that came or went (`Damping`)."""
        return self.damping.changes(now, self.members(now))

    # One's own standing still

    def wake(self, now: float) -> None:
        """Guards against judging others by what this process did not hear while it stood still, or asleep:
        its questions are void, its suspicions last longer, and it doubts itself."""
        gap = now - self.ticked_at
        self.ticked_at = max(now, self.ticked_at)
        self.room = min(self.room + max(gap, 0.0) * ROWS_S, MOST_ROOM)
        if gap < self.tuning.pause_s:
            if gap > 0 and self.table.gone:
                self.count_gone(now, gap)
            return
        self.counts.pauses += 1
        self.woke_at = now
        self.ill = min(self.ill + 2, MOST_ILL)
        for probe in self.probes.values():
            probe.over = True
        self.heard_at += gap
        for record in self.table.others():
            record.suspected_at += gap
            if record.state == State.SUSPECT:
                record.by.discard(self.table.name)
        self.next_probe = now

    def count_gone(self, now: float, gap: float) -> None:
        """Time counts towards the proof that a member is gone while this process is in touch with enough."""
        self.gone_gap += gap
        if self.gone_gap >= 0.5:
            if not self.alone(now) and in_touch(self.table, now, self.tuning.forget_s):
                for name in self.table.gone:
                    self.table.records[name].gone_for += self.gone_gap
            self.gone_gap = 0.0

    def failing(self) -> None:
        """Sends fail here: it is this process that is ill."""
        self.ill = min(self.ill + 1, MOST_ILL)

    # Probes

    def number(self) -> int:
        self.seq += 1
        return self.seq

    def probe_next(self, now: float) -> None:
        while self.urgent:
            record = self.table.records.get(self.urgent.pop(0))
            if record is not None and record.present and record.row.name != self.table.name:
                self.start(now, record.row)
                return
        for _ in range(2):
            while self.round:
                record = self.table.records.get(self.round.pop())
                if record is not None and record.present:
                    self.start(now, record.row)
                    return
            self.round = [record.row.name for record in self.table.others()]
            self.chance.shuffle(self.round)

    def start(self, now: float, target: Row, asked_by: tuple[Row, int] | None = None) -> None:
        """Ping it."""
        if target.name == self.table.name:
            return
        way = self.ways.setdefault(target.name, Way())
        direct = max(self.tuning.direct_s, 3.0 * way.trip_s) * (1.0 + self.ill / 4.0)
        whole = max(self.tuning.verdict_s, 2.5 * direct)
        seq = self.number()
        if asked_by is not None:
            direct = whole = max(self.tuning.direct_s, 3.0 * way.trip_s)
        ends = (now + direct / 2.0, now + direct, now + whole)
        self.probes[seq] = Probe(target.name, now, *ends, asked_by=asked_by)
        self.counts.probes += asked_by is None
        record = self.table.records.get(target.name)
        self.send(target if record is None else record.row, Ping(self.table.own, seq, self.table.digest))

    def follow(self, now: float, seq: int, probe: Probe) -> None:
        """Ask again, then others, where no answer came, and judge where none came by them either."""
        known = self.table.records.get(probe.target)
        if now >= probe.again_at and not probe.asked_again and known is not None and known.present:
            probe.asked_again = True
            self.send(known.row, Ping(self.table.own, seq, self.table.digest))
        if probe.asked_by is not None:
            if now >= probe.ends_at:
                probe.over = True
                self.relay(probe, False)
            return
        if known is None:
            probe.over = True
            return
        if now >= probe.relays_at and not probe.relays:
            chosen = self.relays_for(probe.target)
            probe.relays = len(chosen) or -1
            for record in chosen:
                self.send(record.row, Ask(self.table.own, seq, self.table.digest, target=known.row))
        unheard = probe.relays > 0 and not probe.answers
        if now >= probe.ends_at + (self.tuning.direct_s if unheard else 0.0):
            probe.over = True
            self.failed(now, probe)

    def relays_for(self, target: str) -> list[Record]:
        """Whom to ask about it: who answered last, and some of those who answered lately. They are known to
        be in reach, also where most are dead."""
        there = [r for r in self.table.others() if r.row.name != target and r.state == State.ALIVE]
        first, *rest = heapq.nlargest(LATELY, there, key=lambda r: r.answered_at) or [None]
        if first is None:
            return []
        return [first, *self.chance.sample(rest, min(len(rest), RELAYS - 1))]

    def failed(self, now: float, probe: Probe) -> None:
        self.counts.failed += 1
        record = self.table.records[probe.target]
        if probe.relays > 0 and not probe.answers:  # not even a relay's no: the fault may be here
            if self.heard_at < probe.sent_at:
                self.ill = min(self.ill + 1, MOST_ILL)
            return
        if not record.present or record.answered_at >= probe.sent_at:
            return
        if self.table.name not in record.by or record.state == State.ALIVE:
            fresh = record.state == State.ALIVE
            self.table.hold(probe.target, State.SUSPECT, now, by=self.table.name)
            self.counts.suspicions += fresh
            self.counts.changes += fresh
            self.spread(record)
        elif self.overdue(now, record):
            self.spread(record)  # a witness's word was lost: no digest tells of that

    def answered(self, now: float, seq: int, who: Row, digest: int) -> None:
        """An answer to a ping of ours: whoever it is was alive when it was asked."""
        probe = self.probes.get(seq)
        if probe is None or probe.target != who.name:
            return
        way = self.ways.setdefault(who.name, Way())
        trip = now - probe.sent_at
        way.trip_s = min(0.8 * way.trip_s + 0.2 * trip if way.trip_s else trip, 1.0)
        way.failing = 0
        self.lives(now, probe)
        if digest == self.table.digest and (record := self.table.records.get(who.name)) is not None:
            record.agreed_at = max(record.agreed_at, probe.sent_at)
        if probe.asked_by is not None:
            if not probe.over:
                self.relay(probe, True)
        elif not probe.over:
            self.ill = max(self.ill - 1, 0)
        probe.over = True

    def relay(self, probe: Probe, answered: bool) -> None:
        assert probe.asked_by is not None
        who, number = probe.asked_by
        self.reply(who, Relayed(self.table.own, number, self.table.digest, answered=answered))

    def relayed(self, now: float, seq: int, answered: bool) -> None:
        probe = self.probes.get(seq)
        if probe is None or probe.asked_by is not None:
            return
        probe.answers += 1
        self.heard(now, probe.sent_at)  # the relay lives
        if answered:
            self.lives(now, probe)
            if not probe.over:
                self.ways.setdefault(probe.target, Way()).failing += 1
            probe.over = True

    def heard(self, now: float, asked_at: float) -> None:
        """Somebody lives who was asked then."""
        if self.alone(now):
            self.woke_at = now  # what is held of the others is from before
        self.heard_at = max(self.heard_at, asked_at)

    def lives(self, now: float, probe: Probe) -> None:
        self.heard(now, probe.sent_at)
        record = self.table.records.get(probe.target)
        if record is None:
            return
        record.answered_at = max(record.answered_at, probe.sent_at)
        record.by.discard(self.table.name)
        if record.state == State.SUSPECT and probe.sent_at >= record.suspected_at:
            self.vouches += 1
            vouch = Vouch(record.row.name, record.row.incarnation, self.table.name, self.vouches)
            self.rumours.add(("vouch", record.row.name), vouch)
            self.hear_vouch(now, vouch)

    # Suspicions

    def lasts(self, record: Record) -> float:
        """How long a suspicion lasts, by who shares it."""
        size = max(len(self.table.there) + 1, 2)
        least = self.tuning.suspect_s * max(1.0, math.log10(size))
        most = least * self.tuning.patience
        all_of_them = 1 + max(WITNESSES, 1)
        share = math.log(min(len(record.by), all_of_them) or 1) / math.log(all_of_them)
        return (most - (most - least) * share) * (1.0 + self.ill / 4.0)

    def overdue(self, now: float, record: Record) -> bool:
        return record.state == State.SUSPECT and now - record.suspected_at >= self.lasts(record)

    def bury(self, now: float) -> None:
        """Hold those gone whose suspicion has lasted, where others share it."""
        if self.alone(now) or self.table.displaced:
            return  # what is not heard is no news of others
        for name in list(self.table.suspects):
            record = self.table.records[name]
            if not self.overdue(now, record) or record.answered_at >= record.suspected_at:
                continue
            fresh = 2.0 * (self.tuning.verdict_s + self.tuning.probe_s * (len(self.table.there) + 1))
            could = sum(
                r.state == State.ALIVE and now - r.answered_at < fresh
                for r in self.table.others()
                if r is not record
            )
            if len(record.by - {self.table.name}) < min(WITNESSES, could):
                continue
            self.table.hold(record.row.name, State.GONE, now)
            self.counts.burials += 1
            self.counts.changes += 1
            self.ways.pop(record.row.name, None)
            self.gone_tries[record.row.name] = (now + GONE_S, GONE_S)
            self.spread(record)

    def hear_vouch(self, now: float, vouch: Vouch) -> None:
        """Somebody had an answer of it: the suspicion begins anew, without those who witnessed before."""
        record = self.table.records.get(vouch.name)
        if record is None or record.state != State.SUSPECT or record.row.incarnation != vouch.incarnation:
            return
        if vouch.by != self.table.name and record.vouch_numbers.get(vouch.by, 0) >= vouch.number:
            return
        record.vouch_numbers[vouch.by] = vouch.number
        record.suspected_at = now
        record.by &= {self.table.name}
        if ("vouch", vouch.name) not in self.rumours:
            self.rumours.add(("vouch", vouch.name), vouch)

    # What others tell

    def hear(self, now: float, row: Row, spread: bool = True) -> None:
        if not row.is_valid():
            return
        before = self.table.records.get(row.name)
        held = before.state if before is not None else None
        done = self.table.merge(row, now)
        record = self.table.records[row.name]
        if done is Merged.NOTHING:
            return
        if done is Merged.DISPLACED:
            if self.newer is None or self.newer.process != row.process:
                self.out.append(
                    Warn(
                        f"another process, at {row.host}:{row.port}, has the name {row.name} and is newer: "
                        "this one takes no part until it is gone. Give each its own [membership] name"
                    )
                )
                # The other one is to hear of it as well.
                self.send(row, Ping(self.table.own, self.number(), self.table.digest))
            self.newer = row
            return
        if done is Merged.REFUTED:
            if row.process != self.table.process and self.table.settled:
                self.out.append(Warn(f"another process had the name {row.name}, and is over"))
            elif row.process == self.table.process:
                self.counts.refuted += 1
                self.ill = min(self.ill + 1, MOST_ILL)
        if done is Merged.CHANGED:
            self.counts.changes += held is None or held != record.state
            if record.present:
                self.gone_tries.pop(row.name, None)
            elif record.state == State.GONE:
                self.gone_tries.setdefault(row.name, (now + GONE_S, GONE_S))
        if record.state == State.SUSPECT and row.name != self.table.name:
            looks = min(1.0, LOOKERS / max(len(self.table.there), 1))
            if self.table.name not in record.by and row.name not in self.urgent:
                if self.chance.random() < looks:
                    self.urgent.append(row.name)
        if spread or row.name == self.table.name:
            self.spread(record)

    def compare(self, now: float, message: Message, stranger: bool) -> None:
        """Exchange all rows where news alone does not make two views alike, or with the first that is met."""
        if message.digest == self.table.digest:
            self.differs = 0
            return
        self.differs += 1
        joining = stranger and len(self.table.records) <= 2
        if now >= self.next_exchange and (self.differs >= DIFFERS or joining):
            self.differs = 0
            self.counts.exchanges += 1
            self.next_exchange = now + EXCHANGE_S * (1.0 + len(self.table.records) / 100.0)
            self.out.append(Exchange((message.me.host, message.me.port)))

    # Joining, and those that are gone

    def look_for_seeds(self, now: float) -> None:
        if now >= self.next_seed:
            known = {(r.row.host, r.row.port) for r in self.table.others()}
            missing = [seed for seed in self.seeds if seed not in known]
            rest = SEEDS_S if not known or not self.table.settled else MISSING_S
            self.next_seed = now + rest * self.chance.uniform(0.8, 1.2)
            for to in missing if not known else self.chance.sample(missing, min(1, len(missing))):
                self.out.append(Send(to, self.laden(Ping(self.table.own, self.number(), self.table.digest))))

    def look_for_gone(self, now: float) -> None:
        """Those that are gone are tried, ever more rarely: a part that was cut off is met again by that."""
        for name, (at, rest) in list(self.gone_tries.items()):
            record = self.table.records.get(name)
            if record is None or record.state != State.GONE:
                del self.gone_tries[name]
            elif now >= at:
                rest = min(2.0 * rest, GONE_MOST_S)
                self.gone_tries[name] = (now + rest * self.chance.uniform(0.5, 1.0), rest)
                self.start(now, record.row)
                return

    # Sending

    def reply(self, to: Row, message: Message) -> None:
        known = self.table.records.get(to.name)
        self.send(known.row if known is not None and known.row.process == to.process else to, message)

    def send(self, to: Row, message: Message) -> None:
        self.out.append(Send((to.host, to.port), self.laden(message, to.name), to.process))

    def spread(self, record: Record) -> None:
        self.rumours.add(("row", record.row.name), self.table.gossip_row(record))

    def laden(self, message: Message, to: str = "") -> Message:
        """With what was passed on least, and with how the receiver itself is held where that is ill of it."""
        most = math.ceil(RUMOURS * math.log2(len(self.table.records) + 2))
        rows: list[Row] = []
        vouches: list[Vouch] = []
        held = self.table.records.get(to)
        if held is not None and (held.state != State.ALIVE or message.me.name == to):
            rows.append(self.table.gossip_row(held))
        for item in self.rumours.take(min(NEWS - len(rows), int(self.room)), most):
            self.room -= 1.0
            if isinstance(item, Row):
                rows.append(item)
            else:
                vouches.append(item)
        return replace(message, news=tuple(rows), vouches=tuple(vouches))

    def taken(self) -> list[Output]:
        out, self.out = self.out, []
        return out
