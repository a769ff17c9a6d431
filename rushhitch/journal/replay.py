"""Replays a journal: rebuilds the state of messages and endpoints from its segments. Read-only."""

from __future__ import annotations

from dataclasses import dataclass, field

from rushhitch.journal import format as form
from rushhitch.journal.acceptance import AnswerTracker
from rushhitch.journal.files import Files
from rushhitch.journal.format import JournalEntry, JournalError
from rushhitch.journal.segments import PREFIX, SUFFIX, Segment, forget_cold


@dataclass(slots=True)
class ReplayReport:
    """Statistics and damage found by a replay."""

    records: int = 0
    torn: int = 0  # bytes of incomplete records at the ends of segments
    damaged: int = 0  # bytes elsewhere that belong to no record
    lost: int = 0  # records missing from the sequence
    unreadable: list[str] = field(default_factory=list)  # segments with a damaged header
    possibly_run: int = 0  # live messages that may have lost an attempt record, so they count as possibly run
    migrated: int = 0  # messages migrated from the JSON journal

    @property
    def clean(self) -> bool:
        return not (self.damaged or self.lost or self.unreadable)


class Replay:
    """Applies the records of a journal in order, segment by segment."""

    def __init__(self, files: Files) -> None:
        self.files = files
        self.live: dict[int, JournalEntry] = {}
        self.cold: dict[str, float] = {}
        self.cold_segments: dict[str, Segment] = {}
        self.segments: list[Segment] = []
        self.identity = b""
        self.sequence = 0  # of the next record
        self.highest = 0  # message number seen
        self.answer_tracker = AnswerTracker()
        self.report = ReplayReport()

    def read(self, names: dict[str, int]) -> None:
        """Replay all segments among `names` (sizes in bytes by file name). Raises `JournalError` if they are
        of different journals or of a newer version."""
        expected: int | None = None
        classes: dict[bytes, str] = {}
        found = sorted(n for n in names if n.startswith(PREFIX) and n.endswith(SUFFIX))
        for name in found:
            data = self.files.read(name)
            header = form.read_header(data, name)
            number = header.segment if header else int(name[len(PREFIX) : -len(SUFFIX)])
            segment = Segment(number, header.base if header else 0, names[name])
            self.segments.append(segment)
            if header is None:
                if len(data) >= form.HEADER_SIZE:  # a shorter file was still being created
                    self.report.unreadable.append(name)
                    segment.damaged, segment.base = True, expected or 0  # continues the segment before it
                    after = self.read_segment(segment, data, expected, classes)
                    expected = after if expected is not None else None
                continue
            if self.identity and header.identity != self.identity:
                raise JournalError(
                    f"{name} belongs to another journal than the files before it: move it away"
                )
            self.identity = header.identity
            last = name == found[-1]
            expected = self.read_segment(segment, data, expected, classes, header.synced, last)
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
        """Replay one segment; returns the next expected sequence number."""
        scan, base = form.Scan(), segment.base
        if expected is None:
            expected = base  # older segments were removed
        if base != expected:
            self.gap(segment, base - expected)
            expected = base
        # With syncs, records missing at the end of the last segment were not yet synced at the power failure.
        # Nothing that depends on them was done, so no message can have run without a record.
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
        """Account for lost records. One may have been an attempt, so each live message may have run."""
        segment.damaged = True
        self.answer_tracker.records_lost()
        self.report.lost += max(missing, 1)
        for entry in self.live.values():
            if entry.notice is None:
                self.report.possibly_run += 1
                if entry.ran is None or entry.accepted_at < entry.ran[1]:
                    entry.ran = ("", entry.accepted_at)
                entry.attempts = max(entry.attempts, 1)

    def apply(self, segment: Segment, kind: int, payload: bytes, classes: dict[bytes, str]) -> None:
        """Apply one record. Those of unknown messages are ignored: the message has ended, and its start was
        in a segment that is gone."""
        if kind == form.ACCEPTED:
            self.answer_tracker.message_accepted(form.NUMBER.unpack(payload)[0])
            return
        self.answer_tracker.other_record()
        if kind == form.MESSAGE or kind == form.RECEIVED:
            start = form.BOOT_SIZE if kind == form.RECEIVED else 0
            message = form.read_message(payload[start:], classes)
            number = message.number
            if kind == form.RECEIVED:
                self.answer_tracker.message_received(number, payload[:start])
            else:
                self.answer_tracker.message_recorded(number, form.is_unanswered(payload))
            if number in self.live:
                self.live[number].segment.live.pop(number, None)
            message.segment = segment
            self.live[number] = message
            segment.live[number] = None
            if number > self.highest:
                self.highest = number
            return
        if kind == form.COLD:
            endpoint = payload[form.PACE.size :].decode()
            forget_cold(endpoint, self.cold, self.cold_segments)
            self.cold[endpoint], self.cold_segments[endpoint] = form.PACE.unpack_from(payload)[0], segment
            segment.cold.add(endpoint)
            return
        if kind == form.WARM:
            forget_cold(payload.decode(), self.cold, self.cold_segments)
            return
        entry = self.live.get(form.NUMBER.unpack_from(payload)[0])
        if entry is None:
            return
        if kind == form.ATTEMPT:
            _, number, at = form.ATTEMPT_HEAD.unpack_from(payload)
            entry.out[number] = (payload[form.ATTEMPT_HEAD.size :].decode(), at)
            entry.attempts = max(entry.attempts, number + 1)
        elif kind == form.OUTCOME:
            _, number, may_have_run = form.OUTCOME_HEAD.unpack(payload)
            if number in entry.out:
                entry.attempt_ended(number, bool(may_have_run))
        elif kind == form.AWAITING_ACK:
            entry.awaiting_ack = form.ATTEMPT_KEY.unpack(payload)[1]
        elif kind == form.NOT_RUN:
            _, number = form.ATTEMPT_KEY.unpack_from(payload)
            if number in entry.out:
                entry.attempt_ended(number, may_have_run=False)
            entry.marks.append(payload[form.ATTEMPT_KEY.size :])
        elif kind == form.NOTICE:
            _, wait_ms = form.NOTICE_HEAD.unpack_from(payload)
            entry.notice, entry.body = (payload[form.NOTICE_HEAD.size :].decode(), wait_ms), b""
        elif kind == form.END:
            del self.live[entry.number]
            self.answer_tracker.forget(entry.number)
            entry.segment.live.pop(entry.number, None)
