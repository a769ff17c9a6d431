"""Failure detection: probes, suspicion, local health, dissemination. No I/O, no clock.

SWIM with Lifeguard's local health, and four further rules (`docs/design/membership.md`): only an answer to
one's own probe is a sign of life, dated by the time of the probe; some other members verify a suspicion, as
witnesses or by a vouch; no member is declared gone on one report if another could be had; and a process that
was paused, or hears nobody, gives no verdict.
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

MAX_ILL = 8  # upper limit of `ill`, Lifeguard's local health multiplier
LATE_ANSWER_S = 3.0  # a late answer within this time still shows that the member was alive when probed
RELAY_COUNT = 3  # indirect probes per failed direct probe
RELAY_CANDIDATES = 8  # most recently heard members that relays are chosen from
MIN_WITNESSES = 2  # required in addition to this process, if that many are reachable
VERIFIERS = 8.0  # expected number of members that probe a suspect when they hear of it
GOSSIP_FACTOR = 1.5  # times log2 of the number of members: sends of each row
MAX_EXCHANGE_GOSSIP = 64  # rows of an exchange passed on; members learn more rows by their own exchanges
MAX_NEWS_ROWS = 8  # rows in a datagram: keeps it below 1,200 bytes
GOSSIP_ROWS_PER_S = 16.0  # gossip rate limit (1.1 kB/s); the excess is left to full exchanges
MAX_GOSSIP_BURST = 64.0  # rows; lets a burst of failures be gossiped at once
SEED_RETRY_S = 1.0  # while no member is known
MISSING_SEED_RETRY_S = 5.0  # for a seed that is no known member: the fleet may be partitioned
GONE_RETRY_S = 2.0  # initial interval of probes of a gone member; doubles up to `MAX_GONE_RETRY_S`
MAX_GONE_RETRY_S = 60.0
JOIN_S = 2.0  # after the start, during which a process with this name is the predecessor
DISPLACED_CHECK_S = 5.0  # interval of checks whether the newer process with this name still exists
EXCHANGE_INTERVAL_S = 2.0  # minimum; grows with the number of members
MIN_REPEATS = 3  # repeats before a digest mismatch starts an exchange, or a path counts as one-way


@dataclass(frozen=True, slots=True)
class Tuning:
    """Times in seconds."""

    probe_s: float = 0.2  # interval of probes
    direct_s: float = 0.15  # minimum timeout of a direct probe; at least three typical round trips
    verdict_s: float = 0.45  # minimum time until a probe fails, relays included
    suspect_s: float = 0.8  # minimum duration of a suspicion; grows with log10 of the number of members
    patience: float = 5.0  # multiple of `suspect_s` without witnesses
    pause_s: float = 0.5  # a longer gap between ticks is a pause of this process
    forget_s: float = 600.0  # see `bounds`
    fleet: int = 1  # stated fleet size


@dataclass(slots=True)
class Probe:
    """A probe in flight. `asked_by`: requester of an indirect probe and the `seq` of its `Ask`."""

    target: str
    sent_at: float
    again_at: float  # when a second ping is sent, in case the first or its answer was lost
    relays_at: float
    ends_at: float
    asked_again: bool = False
    relays: int = 0
    answers: int = 0  # from relays, positive or negative
    over: bool = False  # judged; a late answer still shows that the member was alive
    asked_by: tuple[Row, int] | None = None


@dataclass(slots=True)
class Counts:
    """Counters in the JSON of `members`, by field name."""

    probes: int = 0
    failed: int = 0
    suspicions: int = 0
    burials: int = 0
    refuted: int = 0
    pauses: int = 0
    exchanges: int = 0
    changes: int = 0  # of the view


@dataclass(slots=True)
class DirectPath:
    """Smoothed round trip to a member, and consecutive probes that succeeded only through relays."""

    rtt_s: float = 0.0
    relayed_only: int = 0


class Detector:
    """One member. Call `tick` about every 0.1 s and `receive` per message; both return actions to take."""

    def __init__(self, own: Row, tuning: Tuning, rng: random.Random, now: float) -> None:
        self.tuning, self.rng = tuning, rng
        self.table = Table(own, now, tuning.fleet)
        self.started_at = self.ticked_at = self.woke_at = now
        self.ill = 0  # 0 to `MAX_ILL`; lengthens this process's timeouts
        self.seq = 0
        self.probes: dict[int, Probe] = {}
        self.probe_order: list[str] = []
        self.urgent: list[str] = []
        self.next_probe = now
        self.displacer: Row | None = None  # the newer process that took this name
        self.rumours = Rumours()
        self.vouches = 0
        self.seeds: list[tuple[str, int]] = []
        self.next_seed = now
        self.gone_tries: dict[str, tuple[float, float]] = {}  # name -> next probe, interval
        self.paths: dict[str, DirectPath] = {}
        self.mismatches = 0
        self.next_exchange = now
        self.heard_at = now  # send time of the newest probe that any member answered
        self.damping = Damping(own.name, now)
        self.counts = Counts()
        self.gone_gap = 0.0
        self.lease = Lease()
        self.leased = False
        self.room = MAX_GOSSIP_BURST  # rows that may be gossiped now
        self.outputs: list[Output] = []

    # Inputs

    def join(self, seeds: Iterable[tuple[str, int]]) -> None:
        """Set the addresses to contact for joining the fleet."""
        own = (self.table.own.host, self.table.own.port)
        self.seeds = [seed for seed in seeds if seed != own]

    def tick(self, now: float) -> list[Output]:
        """Handle timeouts and send due probes."""
        self.wake(now)
        for seq in [seq for seq, probe in self.probes.items() if now >= probe.ends_at + LATE_ANSWER_S]:
            del self.probes[seq]
        for seq, probe in list(self.probes.items()):
            if not probe.over:
                self.advance(now, seq, probe)
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
            self.next_probe = now + DISPLACED_CHECK_S
            others = [record.row for record in self.table.others()]
            asked = self.rng.sample(others, min(1, len(others)))
            for row in asked if self.displacer is None else [*asked, self.displacer]:
                self.send(row, Ping(self.table.own, self.number(), self.table.digest))
        window = window_s(self.table, self.tuning.probe_s)
        args = (self.tuning.forget_s, window, self.tuning.pause_s)
        self.leased = self.lease.held(self.table, now, *args) and not self.table.displaced
        self.table.settled |= now - self.started_at >= JOIN_S
        return self.taken()

    def receive(self, now: float, message: Message) -> list[Output]:
        """Handle an authenticated message."""
        self.wake(now)
        me, own = message.me, self.table.own
        if own.state == State.LEFT:
            return self.taken()
        if me.name == own.name and me.process != own.process and not self.table.displaced:
            self.outputs.append(Warn(f"another process, at {me.host}:{me.port}, claims our name {me.name}"))
        known = self.table.records.get(me.name)
        stranger = known is None
        self.hear_row(now, me)
        for row in message.news:
            self.hear_row(now, row)
        for vouch in message.vouches:
            self.hear_vouch(now, vouch)
        if self.table.displaced:
            return self.taken()
        match message:
            case Ping():
                self.reply(me, Ack(self.table.own, message.seq, self.table.digest))
            case Ask():
                self.start_probe(now, message.target, asked_by=(me, message.seq))
            case Ack():
                self.handle_ack(now, message.seq, me, message.digest)
            case Relayed():
                self.handle_relayed(now, message.seq, message.answered)
        self.compare_digests(now, message, stranger)
        return self.taken()

    def merge(self, now: float, rows: Iterable[Row]) -> list[Output]:
        """Merge all rows of another member, received by an exchange."""
        self.wake(now)
        rows = list(rows)
        for row in rows:
            self.hear_row(now, row, spread=len(rows) <= MAX_EXCHANGE_GOSSIP)
        self.mismatches = 0
        return self.taken()

    def leave(self, now: float) -> list[Output]:
        """Announce to some members that this process leaves; they gossip it."""
        own = self.table.own
        if self.table.displaced or own.state == State.LEFT:
            return []
        self.table.set_own(own._replace(state=int(State.LEFT)), now)
        there = self.table.others()
        for record in self.rng.sample(there, min(len(there), 2 * RELAY_COUNT)):
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
                (p := self.paths.get(r.row.name)) is not None and p.relayed_only >= MIN_REPEATS and r.present,
            )
            for _, r in sorted(self.table.records.items())
        ]

    def bounds(self, now: float) -> Bounds:
        """Bounds as of now; no lease after a pause that no tick has handled yet."""
        alone = self.alone(now) and len(self.table.records) > 1
        leased = self.leased and now - self.ticked_at < LEASE_GRACE * self.tuning.forget_s
        args = (self.tuning.forget_s, self.tuning.probe_s)
        return bounds(self.table, now, *args, alone, leased, self.woke_at)

    def alone(self, now: float, longer_s: float = 0.0) -> bool:
        """Whether no member answers; missing answers then say nothing about the others."""
        waited = self.tuning.verdict_s * 2.0 + self.tuning.probe_s * (1 + self.ill)
        return now - self.heard_at >= waited + max(self.tuning.suspect_s, longer_s)

    def changes(self, now: float) -> list[tuple[Seen, bool]]:
        """Members that came or went, to notify subscribers of (see `Damping`)."""
        return self.damping.changes(now, self.members(now))

    # Pauses of this process

    def wake(self, now: float) -> None:
        """Update the clock. After a pause, probes in flight are void, suspicions extended and `ill` rises,
        since otherwise members would be judged by answers that this process could not receive."""
        gap = now - self.ticked_at
        self.ticked_at = max(now, self.ticked_at)
        self.room = min(self.room + max(gap, 0.0) * GOSSIP_ROWS_PER_S, MAX_GOSSIP_BURST)
        if gap < self.tuning.pause_s:
            if gap > 0 and self.table.gone:
                self.count_gone(now, gap)
            return
        self.counts.pauses += 1
        self.woke_at = now
        self.ill = min(self.ill + 2, MAX_ILL)
        for probe in self.probes.values():
            probe.over = True
        self.heard_at += gap
        for record in self.table.others():
            record.suspected_at += gap
            if record.state == State.SUSPECT:
                record.by.discard(self.table.name)
        self.next_probe = now

    def count_gone(self, now: float, gap: float) -> None:
        """Add to `gone_for` of gone members while this process is in touch with a majority."""
        self.gone_gap += gap
        if self.gone_gap >= 0.5:
            if not self.alone(now) and in_touch(self.table, now, self.tuning.forget_s):
                for name in self.table.gone:
                    self.table.records[name].gone_for += self.gone_gap
            self.gone_gap = 0.0

    def failing(self) -> None:
        """Record a failed send, a fault of this process."""
        self.ill = min(self.ill + 1, MAX_ILL)

    # Probes

    def number(self) -> int:
        self.seq += 1
        return self.seq

    def probe_next(self, now: float) -> None:
        while self.urgent:
            record = self.table.records.get(self.urgent.pop(0))
            if record is not None and record.present and record.row.name != self.table.name:
                self.start_probe(now, record.row)
                return
        for _ in range(2):
            while self.probe_order:
                record = self.table.records.get(self.probe_order.pop())
                if record is not None and record.present:
                    self.start_probe(now, record.row)
                    return
            self.probe_order = [record.row.name for record in self.table.others()]
            self.rng.shuffle(self.probe_order)

    def start_probe(self, now: float, target: Row, asked_by: tuple[Row, int] | None = None) -> None:
        """Ping `target`; with `asked_by`, as its relay."""
        if target.name == self.table.name:
            return
        path = self.paths.setdefault(target.name, DirectPath())
        direct = max(self.tuning.direct_s, 3.0 * path.rtt_s) * (1.0 + self.ill / 4.0)
        whole = max(self.tuning.verdict_s, 2.5 * direct)
        seq = self.number()
        if asked_by is not None:
            direct = whole = max(self.tuning.direct_s, 3.0 * path.rtt_s)
        ends = (now + direct / 2.0, now + direct, now + whole)
        self.probes[seq] = Probe(target.name, now, *ends, asked_by=asked_by)
        self.counts.probes += asked_by is None
        record = self.table.records.get(target.name)
        self.send(target if record is None else record.row, Ping(self.table.own, seq, self.table.digest))

    def advance(self, now: float, seq: int, probe: Probe) -> None:
        """Advance an unanswered probe: ping again, then ask relays, then judge."""
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
            self.probe_failed(now, probe)

    def relays_for(self, target: str) -> list[Record]:
        """Relays for a probe: the last member that answered, and some others that answered lately. They are
        known to be reachable, even if most members are dead."""
        there = [r for r in self.table.others() if r.row.name != target and r.state == State.ALIVE]
        first, *rest = heapq.nlargest(RELAY_CANDIDATES, there, key=lambda r: r.answered_at) or [None]
        if first is None:
            return []
        return [first, *self.rng.sample(rest, min(len(rest), RELAY_COUNT - 1))]

    def probe_failed(self, now: float, probe: Probe) -> None:
        self.counts.failed += 1
        record = self.table.records[probe.target]
        if probe.relays > 0 and not probe.answers:  # no relay answered either: the fault may be local
            if self.heard_at < probe.sent_at:
                self.ill = min(self.ill + 1, MAX_ILL)
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
            self.spread(record)  # a witness's report was lost; digests do not cover suspicions

    def handle_ack(self, now: float, seq: int, who: Row, digest: int) -> None:
        """Handle an answer: its sender was alive when the ping was sent."""
        probe = self.probes.get(seq)
        if probe is None or probe.target != who.name:
            return
        path = self.paths.setdefault(who.name, DirectPath())
        rtt = now - probe.sent_at
        path.rtt_s = min(0.8 * path.rtt_s + 0.2 * rtt if path.rtt_s else rtt, 1.0)
        path.relayed_only = 0
        self.mark_alive(now, probe)
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

    def handle_relayed(self, now: float, seq: int, answered: bool) -> None:
        probe = self.probes.get(seq)
        if probe is None or probe.asked_by is not None:
            return
        probe.answers += 1
        self.note_answer(now, probe.sent_at)  # the relay is alive
        if answered:
            self.mark_alive(now, probe)
            if not probe.over:
                self.paths.setdefault(probe.target, DirectPath()).relayed_only += 1
            probe.over = True

    def note_answer(self, now: float, asked_at: float) -> None:
        """Record that some member answered a probe sent at `asked_at`."""
        if self.alone(now):
            self.woke_at = now  # the states of other members are outdated
        self.heard_at = max(self.heard_at, asked_at)

    def mark_alive(self, now: float, probe: Probe) -> None:
        self.note_answer(now, probe.sent_at)
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
        """Duration of a suspicion in seconds; shorter with more witnesses (Lifeguard)."""
        size = max(len(self.table.there) + 1, 2)
        least = self.tuning.suspect_s * max(1.0, math.log10(size))
        most = least * self.tuning.patience
        required = 1 + max(MIN_WITNESSES, 1)
        share = math.log(min(len(record.by), required) or 1) / math.log(required)
        return (most - (most - least) * share) * (1.0 + self.ill / 4.0)

    def overdue(self, now: float, record: Record) -> bool:
        return record.state == State.SUSPECT and now - record.suspected_at >= self.lasts(record)

    def bury(self, now: float) -> None:
        """Declare suspects gone whose suspicion has expired and has enough witnesses."""
        if self.alone(now) or self.table.displaced:
            return  # missing answers say nothing about others
        for name in list(self.table.suspects):
            record = self.table.records[name]
            if not self.overdue(now, record) or record.answered_at >= record.suspected_at:
                continue
            fresh = 2.0 * (self.tuning.verdict_s + self.tuning.probe_s * (len(self.table.there) + 1))
            reachable = sum(
                r.state == State.ALIVE and now - r.answered_at < fresh
                for r in self.table.others()
                if r is not record
            )
            if len(record.by - {self.table.name}) < min(MIN_WITNESSES, reachable):
                continue
            self.table.hold(record.row.name, State.GONE, now)
            self.counts.burials += 1
            self.counts.changes += 1
            self.paths.pop(record.row.name, None)
            self.gone_tries[record.row.name] = (now + GONE_RETRY_S, GONE_RETRY_S)
            self.spread(record)

    def hear_vouch(self, now: float, vouch: Vouch) -> None:
        """Apply a vouch: restart the suspicion without its previous witnesses."""
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

    # Updates from others

    def hear_row(self, now: float, row: Row, spread: bool = True) -> None:
        if not row.is_valid():
            return
        before = self.table.records.get(row.name)
        held = before.state if before is not None else None
        done = self.table.merge(row, now)
        record = self.table.records[row.name]
        if done is Merged.NOTHING:
            return
        if done is Merged.DISPLACED:
            if self.displacer is None or self.displacer.process != row.process:
                self.outputs.append(
                    Warn(
                        f"another process, at {row.host}:{row.port}, has the name {row.name} and is newer: "
                        "this one takes no part until it is gone. Give each its own [membership] name"
                    )
                )
                # Lets the other process detect the conflict too.
                self.send(row, Ping(self.table.own, self.number(), self.table.digest))
            self.displacer = row
            return
        if done is Merged.REFUTED:
            if row.process != self.table.process and self.table.settled:
                self.outputs.append(Warn(f"another process had the name {row.name}, and is over"))
            elif row.process == self.table.process:
                self.counts.refuted += 1
                self.ill = min(self.ill + 1, MAX_ILL)
        if done is Merged.CHANGED:
            self.counts.changes += held is None or held != record.state
            if record.present:
                self.gone_tries.pop(row.name, None)
            elif record.state == State.GONE:
                self.gone_tries.setdefault(row.name, (now + GONE_RETRY_S, GONE_RETRY_S))
        if record.state == State.SUSPECT and row.name != self.table.name:
            probability = min(1.0, VERIFIERS / max(len(self.table.there), 1))
            if self.table.name not in record.by and row.name not in self.urgent:
                if self.rng.random() < probability:
                    self.urgent.append(row.name)
        if spread or row.name == self.table.name:
            self.spread(record)

    def compare_digests(self, now: float, message: Message, stranger: bool) -> None:
        """Request a full exchange if gossip does not converge, or with the first member met."""
        if message.digest == self.table.digest:
            self.mismatches = 0
            return
        self.mismatches += 1
        joining = stranger and len(self.table.records) <= 2
        if now >= self.next_exchange and (self.mismatches >= MIN_REPEATS or joining):
            self.mismatches = 0
            self.counts.exchanges += 1
            self.next_exchange = now + EXCHANGE_INTERVAL_S * (1.0 + len(self.table.records) / 100.0)
            self.outputs.append(Exchange((message.me.host, message.me.port)))

    # Joining, and probes of gone members

    def look_for_seeds(self, now: float) -> None:
        if now >= self.next_seed:
            known = {(r.row.host, r.row.port) for r in self.table.others()}
            missing = [seed for seed in self.seeds if seed not in known]
            rest = SEED_RETRY_S if not known or not self.table.settled else MISSING_SEED_RETRY_S
            self.next_seed = now + rest * self.rng.uniform(0.8, 1.2)
            for to in missing if not known else self.rng.sample(missing, min(1, len(missing))):
                self.outputs.append(
                    Send(to, self.add_news(Ping(self.table.own, self.number(), self.table.digest)))
                )

    def look_for_gone(self, now: float) -> None:
        """Probe gone members with increasing intervals, so that a healed partition is found."""
        for name, (at, rest) in list(self.gone_tries.items()):
            record = self.table.records.get(name)
            if record is None or record.state != State.GONE:
                del self.gone_tries[name]
            elif now >= at:
                rest = min(2.0 * rest, MAX_GONE_RETRY_S)
                self.gone_tries[name] = (now + rest * self.rng.uniform(0.5, 1.0), rest)
                self.start_probe(now, record.row)
                return

    # Sending

    def reply(self, to: Row, message: Message) -> None:
        known = self.table.records.get(to.name)
        self.send(known.row if known is not None and known.row.process == to.process else to, message)

    def send(self, to: Row, message: Message) -> None:
        self.outputs.append(Send((to.host, to.port), self.add_news(message, to.name), to.process))

    def spread(self, record: Record) -> None:
        self.rumours.add(("row", record.row.name), self.table.gossip_row(record))

    def add_news(self, message: Message, to: str = "") -> Message:
        """Add the least-sent updates, and the receiver's row unless ALIVE here, so that it can refute."""
        most = math.ceil(GOSSIP_FACTOR * math.log2(len(self.table.records) + 2))
        rows: list[Row] = []
        vouches: list[Vouch] = []
        held = self.table.records.get(to)
        if held is not None and (held.state != State.ALIVE or message.me.name == to):
            rows.append(self.table.gossip_row(held))
        for item in self.rumours.take(min(MAX_NEWS_ROWS - len(rows), int(self.room)), most):
            self.room -= 1.0
            if isinstance(item, Row):
                rows.append(item)
            else:
                vouches.append(item)
        return replace(message, news=tuple(rows), vouches=tuple(vouches))

    def taken(self) -> list[Output]:
        out, self.outputs = self.outputs, []
        return out
