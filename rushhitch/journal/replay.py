"""Reading a journal: what its segments tell of messages and endpoints. Changes nothing on the disk."""

from __future__ import annotations

from dataclasses import dataclass, field

from rushhitch.journal import format as form
from rushhitch.journal.acceptance import Acceptances
from rushhitch.journal.files import Files
from rushhitch.journal.format import JournalEntry, JournalError
from rushhitch.journal.segments import PREFIX, SUFFIX, Segment, warm_up


@dataclass(slots=True)
class Report:
    """What replay found."""

    records: int = 0
    torn: int = 0  # bytes at the end of segments that make no whole record
    damaged: int = 0  # bytes elsewhere that make none
    lost: int = 0  # records that are missing by their sequence numbers
    unreadable: list[str] = field(default_factory=list)  # segments whose header is damaged
    doubted: int = 0  # live messages that may have lost an attempt: they count as possibly run
    carried: int = 0  # messages that came over from the JSON journal

    @property
    def clean(self) -> bool:
        return not (self.damaged or self.lost or self.unreadable)


class Replay:
    """Follows the records of a journal, segment by segment, in their order."""

    def __init__(self, files: Files) -> None:
        self.files = files
        self.live: dict[int, JournalEntry] = {}
        self.cold: dict[str, float] = {}
        self.cold_homes: dict[str, Segment] = {}
        self.segments: list[Segment] = []
        self.identity = b""
        self.sequence = 0  # of the record that comes next
        self.highest = 0  # number of a message
        self.acceptances = Acceptances()
        self.report = Report()

    def read(self, names: dict[str, int]) -> None:
        """Follow all segments, whose names and sizes these are. A `JournalError` where they make none."""
        expected: int | None = None
        classes: dict[bytes, str] = {}
        found = sorted(n for n in names if n.startswith(PREFIX) and n.endswith(SUFFIX))
        for name in found:
            data = self.files.read(name)
            told = form.read_header(data, name)
            number = told.segment if told else int(name[len(PREFIX) : -len(SUFFIX)])
            segment = Segment(number, told.base if told else 0, names[name])
            self.segments.append(segment)
            if told is None:
                if len(data) >= form.HEADER_SIZE:  # shorter, and its making was cut off
                    self.report.unreadable.append(name)
                    segment.damaged, segment.base = True, expected or 0  # as it follows from the one before
                    after = self.read_segment(segment, data, expected, classes)
                    expected = after if expected is not None else None
                continue
            if self.identity and told.identity != self.identity:
                raise JournalError(
                    f"{name} belongs to another journal than the files before it: move it away"
                )
            self.identity = told.identity
            last = name == found[-1]
            expected = self.read_segment(segment, data, expected, classes, told.synced, last)
        self.sequence = expected or 0

    def read_segment(
        self,
        segment: Segment,
        data: bytes,
        expected: int | None,
        classes: dict[bytes, str],
        synced: bool = False,
        last: bool = False,
    ) -> int:
        """Follow one segment; the sequence number that comes next."""
        scan, base = form.Scan(), segment.base
        if expected is None:
            expected = base  # older segments were dropped
        if base != expected:
            self.gap(segment, base - expected)
            expected = base
        # With syncs, what is missing at the end of the last segment had not been synced when the power went:
        # nothing that depended on it was done, and no message may have run unseen.
        unsynced = synced and last
        for sequence, kind, payload in form.records(data, scan):
            if sequence != expected and not unsynced:
                self.gap(segment, sequence - expected)
            expected = sequence + 1
            self.report.records += 1
            self.apply(segment, kind, payload, classes)
        self.report.torn += scan.torn + (scan.damaged if unsynced else 0)
        if not unsynced:
            self.report.damaged += scan.damaged
            segment.damaged |= scan.damaged > 0
        return expected

    def gap(self, segment: Segment, missing: int) -> None:
        """Records are lost. An attempt may have been among them: what was live may have run."""
        segment.damaged = True
        self.acceptances.lose_records()
        self.report.lost += max(missing, 1)
        for kept in self.live.values():
            if kept.notice is None:
                self.report.doubted += 1
                if kept.ran is None or kept.accepted_at < kept.ran[1]:
                    kept.ran = ("", kept.accepted_at)
                kept.attempts = max(kept.attempts, 1)

    def apply(self, segment: Segment, kind: int, payload: bytes, classes: dict[bytes, str]) -> None:
        """Follow one record. Of a message that is not known only its end is left: its start was dropped."""
        if kind == form.ACCEPT:
            self.acceptances.accept(form.NUMBER.unpack(payload)[0])
            return
        self.acceptances.record()
        if kind == form.MESSAGE or kind == form.OFFER:
            start = form.BOOT_SIZE if kind == form.OFFER else 0
            message = form.read_message(payload[start:], classes)
            number = message.number
            if kind == form.OFFER:
                self.acceptances.offer(number, payload[:start])
            else:
                self.acceptances.message(number, form.is_early(payload))
            if number in self.live:
                self.live[number].home.live.pop(number, None)
            message.home = segment
            self.live[number] = message
            segment.live[number] = None
            if number > self.highest:
                self.highest = number
            return
        if kind == form.COLD:
            endpoint = payload[form.PACE.size :].decode()
            warm_up(endpoint, self.cold, self.cold_homes)
            self.cold[endpoint], self.cold_homes[endpoint] = form.PACE.unpack_from(payload)[0], segment
            segment.cold.add(endpoint)
            return
        if kind == form.WARM:
            warm_up(payload.decode(), self.cold, self.cold_homes)
            return
        kept = self.live.get(form.NUMBER.unpack_from(payload)[0])
        if kept is None:
            return
        if kind == form.TRY:
            _, number, at = form.TRY_HEAD.unpack_from(payload)
            kept.out[number] = (payload[form.TRY_HEAD.size :].decode(), at)
            kept.attempts = max(kept.attempts, number + 1)
        elif kind == form.GOT:
            _, number, may_have_run = form.GOT_HEAD.unpack(payload)
            if number in kept.out:
                kept.attempt_ended(number, bool(may_have_run))
        elif kind == form.HANDED:
            kept.awaiting_ack = form.HANDED_HEAD.unpack(payload)[1]
        elif kind == form.DENIED:
            _, number = form.HANDED_HEAD.unpack_from(payload)
            if number in kept.out:
                kept.attempt_ended(number, may_have_run=False)
            kept.marks.append(payload[form.HANDED_HEAD.size :])
        elif kind == form.OWE:
            _, wait_ms = form.OWE_HEAD.unpack_from(payload)
            kept.notice, kept.body = (payload[form.OWE_HEAD.size :].decode(), wait_ms), b""
        elif kind == form.END:
            del self.live[kept.number]
            self.acceptances.forget(kept.number)
            kept.home.live.pop(kept.number, None)
