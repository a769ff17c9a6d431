"""The journal at work: what is live, the segments it stands in, and the way from one to the other.

Nothing is on disk before `flush`. What a flush could not write stays noted, in order, and goes first at the
next one, so that the disk always holds a prefix of what happened. Compaction drops the oldest segment once
each live message of it was written anew at the end of the journal; a bit of that is done beside each flush.
"""

from __future__ import annotations

import contextlib
import errno
import gc
import logging
import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from rushhitch.journal import format as form
from rushhitch.journal import legacy
from rushhitch.journal.acceptance import AnswerTracker
from rushhitch.journal.answers import NAME as ANSWERS
from rushhitch.journal.answers import SIZE as ANSWERS_SIZE
from rushhitch.journal.answers import AnswerFile, Marks, read_marks
from rushhitch.journal.boot import boot_id
from rushhitch.journal.files import BLOCK, Files, allocated_size
from rushhitch.journal.format import FolderInUseError, JournalEntry
from rushhitch.journal.replay import Replay, ReplayReport
from rushhitch.journal.segments import PREFIX, Segment, forget_cold
from rushhitch.journal.space import RECORD_ROOM, Space

log = logging.getLogger(__name__)

LOCK, RESERVE, DAMAGED_PREFIX = "lock", "reserve", "damaged-"
MAX_COPIES_PER_STEP = 128  # copied forward beside one flush at most: well under a millisecond
MAX_COPIED_BYTES_PER_STEP = 131_072  # likewise, of bodies
MAX_SEGMENT_RECORDS = 4_096  # a segment ends with so many: what is given back is not left to small records
MAX_REPLAY_RECORDS = (
    8_192  # beyond so many, and `MAX_REPLAY_RECORDS_PER_ENTRY` for each live message, a start reads too much
)
MAX_REPLAY_RECORDS_PER_ENTRY = 4  # a copy forward for every third record at most
MAX_UNLINKS_PER_FLUSH = 2  # beside one flush at most: each takes up to a millisecond
RESERVE_RETRY_S = 1.0  # between two tries to take the reserve back from a disk that was full


class Sync(Enum):
    """What an answer promises: that a message outlasts the process, or the machine's power as well."""

    NONE = "none"
    BATCH = "batch"
    ALWAYS = "always"


@dataclass(slots=True)
class SyncGroup:
    """Flushed bytes on their way to being safe."""

    journal: Journal
    parts: list[tuple[Segment, int, int]]  # with a descriptor of its own, and the bytes that are made safe
    folder: bool

    def run(self) -> None:
        """Wait for the disk; an `OSError` where it fails. In any thread, once."""
        files = self.journal.files
        try:
            for _, fd, _ in self.parts:
                files.sync(fd)
            if self.folder:
                files.sync_folder()
        finally:
            for _, fd, _ in self.parts:
                files.close(fd)

    def done(self) -> None:
        """In the thread of the journal, after `run` came back."""
        for segment, _, size in self.parts:
            segment.durable_bytes, segment.name_durable = max(segment.durable_bytes, size), True
            if segment.sealed:
                self.journal.seal(segment)
        if self.folder:
            self.journal.folder_unsynced = False


class Journal:
    """What is live (`live`, by number; `cold`, by endpoint) and the files from which a later process learns
    the same. `disk_bytes` is what the folder may hold; `lock`, a descriptor by which another process has held
    the folder for us. A `JournalError` where the folder cannot be used: it
    is held by another process, or of a newer version; an `OSError` where the disk fails. `boot` names the run
    of the machine, where another than the present one is meant."""

    def __init__(
        self,
        folder: Path,
        disk_bytes: float,
        sync: Sync = Sync.NONE,
        files: Files | None = None,
        clock: Callable[[], float] = time.monotonic,
        writable: bool = True,
        lock: int = -1,
        boot: str | None = None,
    ) -> None:
        self.files = files or Files(folder)
        if lock >= 0:
            self.files.lock_fd = lock
        self.space, self.sync, self.clock = Space(disk_bytes), sync, clock
        self.boot = form.boot_mark(boot_id() if boot is None else boot)
        self.live: dict[int, JournalEntry] = {}
        self.unanswered: set[int] = set()  # of `live`: recorded, and not known to have been answered
        self.in_doubt: list[int] = []  # of these, as replay left them: their clients may have been answered
        self.marks: Marks | None = None  # what the answer file said at the start
        self.answers = AnswerFile(self.files)
        self.answers_due = -float("inf")  # the next try to make that file
        self.cold: dict[str, float] = {}  # endpoints in or after an outage, and the pace they took before
        self.cold_homes: dict[str, Segment] = {}
        self.live_bytes = 0
        self.highest = 0  # number ever used, as far as the files tell
        self.identity = b""
        self.segments: list[Segment] = []
        self.used = 0  # bytes of all files, in whole blocks
        self.sequence = 0  # of the next record that is noted
        self.last_copy: tuple[Segment, int] | None = None  # where the newest copies of compaction end
        self.folder_unsynced = False  # a segment was, and the folder is not synced yet
        self.pending: list[tuple[int, int, str, bytes]] = []  # noted, not written: message, type, endpoint
        self.pending_size = 0
        self.write_failing = False  # the disk did not take what was noted
        self.reserve = 0
        self.reserve_due = -float("inf")
        self.dropped: list[JournalEntry] = []  # by replay, since nobody was told that they are accepted
        self.damaged_files: dict[str, int] = {}  # damaged files that were set aside, in whole blocks
        self.report = ReplayReport()
        if writable and not self.files.lock(LOCK):
            raise FolderInUseError(
                f"{folder} is held by another process: stop that one first, or use another folder"
            )
        collects = gc.isenabled()
        gc.disable()  # many new objects, none of them garbage, would be gone through again and again
        try:
            self.replay()
            if writable:
                self.recover()
        except BaseException:
            self.files.unlock()
            raise
        finally:
            if collects:
                gc.enable()

    def close(self) -> None:
        """Give the folder back; what was not flushed is not written."""
        self.close_segments()
        self.files.unlock()

    def hand_over(self) -> int:
        """Write nothing more. The descriptor that holds the folder, for the process that goes on: while it
        is open anywhere, nobody else can take the folder."""
        self.close_segments()
        fd, self.files.lock_fd = self.files.lock_fd, -1
        return fd

    def close_segments(self) -> None:
        self.answers.close()
        for segment in self.segments:
            if segment.fd >= 0:
                fd, segment.fd = segment.fd, -1
                self.files.close(fd)

    # What can happen to a message. Nothing is on disk before `flush`.

    def record_accepted(self, entry: JournalEntry) -> None:
        self.live[entry.number] = entry
        self.live_bytes += self.reserved_bytes(entry)
        if entry.number > self.highest:
            self.highest = entry.number
        self.append_record(entry.number, form.MESSAGE, form.message_payload(entry))

    def record_received(self, entry: JournalEntry) -> None:
        """The message came in; its client has no answer yet. After a kill it is dropped."""
        self.unanswered.add(entry.number)
        self.live[entry.number] = entry
        self.live_bytes += self.reserved_bytes(entry)
        self.highest = max(self.highest, entry.number)
        self.append_entry(entry)

    def begin_answer(self, number: int) -> None:
        """The client of a recorded message is about to be told that it is accepted. Raises `OSError` where
        the disk does not take that: then nobody may be told. What was noted goes first: behind this, all
        messages before it count as answered but for those that the journal says have ended."""
        if number in self.unanswered and self.sync is not Sync.NONE:
            self.append_record(number, form.ACCEPTED, form.NUMBER.pack(number))
        if self.pending:
            self.flush(sync=False)
        self.answers.begin(number)

    def finish_answer(self, number: int) -> None:
        """The whole of that answer is in the system's hands. Without a word of it on the disk the message
        stays in doubt until the next answer."""
        try:
            self.answers.done(number)
        except OSError as error:
            log.error("the journal's answers cannot be written: %s", error)
        self.unanswered.discard(number)

    def append_entry(self, entry: JournalEntry) -> None:
        """Note all that is known of a live message, in one record."""
        early = entry.number in self.unanswered
        if early and self.sync is not Sync.NONE:
            self.append_record(entry.number, form.RECEIVED, self.boot + form.message_payload(entry))
        else:
            self.append_record(entry.number, form.MESSAGE, form.message_payload(entry, early))

    def record_attempt(self, message: int, number: int, endpoint: str, at: float) -> None:
        entry = self.live[message]
        entry.out[number] = (endpoint, at)
        if number >= entry.attempts:
            entry.attempts = number + 1
        self.append_record(
            message, form.ATTEMPT, form.ATTEMPT_HEAD.pack(message, number, at) + endpoint.encode()
        )

    def record_awaiting_ack(self, message: int, number: int) -> None:
        """The attempt was answered and stays out: an acknowledgement is to come."""
        self.live[message].awaiting_ack = number
        self.append_record(message, form.AWAITING_ACK, form.ATTEMPT_KEY.pack(message, number))

    def record_not_run(self, message: int, number: int, mark: bytes) -> None:
        """By an acknowledgement with that mark the attempt never ran."""
        entry = self.live[message]
        entry.attempt_ended(number, may_have_run=False)
        entry.marks.append(mark)
        self.append_record(message, form.NOT_RUN, form.ATTEMPT_KEY.pack(message, number) + mark)

    def record_outcome(self, message: int, number: int, may_have_run: bool) -> None:
        self.live[message].attempt_ended(number, may_have_run)
        self.append_record(message, form.OUTCOME, form.OUTCOME_HEAD.pack(message, number, may_have_run))

    def record_notice(self, message: int, result: str, wait_ms: float) -> None:
        """The message has ended, and the platform must be told."""
        self.ended(self.live[message], result, wait_ms)
        self.append_record(message, form.NOTICE, form.NOTICE_HEAD.pack(message, wait_ms) + result.encode())

    def ended(self, entry: JournalEntry, result: str, wait_ms: float) -> None:
        self.live_bytes -= self.reserved_bytes(entry)
        entry.notice, entry.body, entry.attributes = (result, wait_ms), b"", b""
        self.live_bytes += self.reserved_bytes(entry)

    def record_end(self, message: int) -> None:
        """Nothing more is owed. What was noted of the message and is in no file will not be written; of one
        that is in no file at all nothing is."""
        written = self.live[message].segment is not None
        self.drop(message)
        rest = [item for item in self.pending if item[0] != message]
        if len(rest) < len(self.pending):
            self.discard_pending()
            for other, kind, endpoint, data in rest:
                self.append_record(other, kind, data[form.RECORD_SIZE :], endpoint)
        if written:
            self.append_record(message, form.END, form.NUMBER.pack(message))

    def discard_pending(self) -> None:
        self.sequence -= len(self.pending)
        self.pending, self.pending_size = [], 0

    def drop(self, message: int) -> None:
        entry = self.live.pop(message)
        self.unanswered.discard(message)
        self.live_bytes -= self.reserved_bytes(entry)
        if entry.segment is not None:
            entry.segment.live.pop(message, None)

    def record_cold(self, endpoint: str, pace_per_s: float) -> None:
        """The decisions take the endpoint to be cold."""
        forget_cold(endpoint, self.cold, self.cold_homes)
        self.cold[endpoint] = pace_per_s
        self.append_cold(endpoint)

    def record_warm(self, endpoint: str) -> None:
        """It is warm, or gone."""
        if endpoint in self.cold:
            forget_cold(endpoint, self.cold, self.cold_homes)
            self.append_record(0, form.WARM, endpoint.encode())

    def append_cold(self, endpoint: str) -> None:
        self.append_record(0, form.COLD, form.PACE.pack(self.cold[endpoint]) + endpoint.encode(), endpoint)

    def append_record(self, message: int, kind: int, payload: bytes, endpoint: str = "") -> None:
        sequence = self.sequence
        self.sequence = sequence + 1
        data = form.record(kind, sequence, payload)
        self.pending.append((message, kind, endpoint, data))
        self.pending_size += len(data)

    # Space

    @staticmethod
    def reserved_bytes(entry: JournalEntry) -> int:
        named = len(entry.tenant) + len(entry.idempotency)
        return RECORD_ROOM + named + len(entry.body) + len(entry.attributes)

    def has_room(self, body: int) -> bool:
        """Whether a message with a body of so many bytes may be taken on. Not while the disk is full."""
        self.allocate_reserve()
        self.open_answers()
        reserved_bytes = RECORD_ROOM + body
        fits = (
            self.used + reserved_bytes <= self.space.max_bytes_when_accepting
            and self.live_bytes + reserved_bytes <= self.space.max_live_bytes
        )
        reserve_held = self.reserve == self.space.reserve and self.answers.fd >= 0
        return fits and not self.has_unwritten_records and reserve_held

    @property
    def has_unwritten_records(self) -> bool:
        """Something noted is in no file, since the disk did not take it."""
        return self.write_failing and bool(self.pending)

    # Writing

    def flush(self, sync: bool = True) -> None:
        """Write what was noted; an `OSError` if the disk does not take all of it. Without `sync` it outlasts
        the process, whatever the journal promises else."""
        if self.pending:
            self.write_pending()
            if sync and self.sync is Sync.ALWAYS:
                self.sync_now()
        self.maintain()

    def write_pending(self) -> None:
        try:
            while self.pending:
                self.write_batch()
            self.write_failing = False
        except OSError:
            self.write_failing = True
            self.free_space()
            raise

    def write_batch(self) -> None:
        """Write what was noted, as far as it fits the segment."""
        pending = self.pending
        segment, fresh = self.writable_segment(len(pending[0][3]))
        size = segment.size + len(fresh) + self.pending_size
        if size <= self.space.segment:
            batch = pending
        else:
            batch, size = [], segment.size + len(fresh)
            for item in pending:
                if batch and size + len(item[3]) > self.space.segment:
                    break
                batch.append(item)
                size += len(item[3])
        data = b"".join([fresh, *[item[3] for item in batch]])
        if self.used + len(data) + BLOCK > self.space.disk:
            self.make_room(allocated_size(size) - allocated_size(segment.size))
        written = self.append(segment, data)
        if written == len(data):
            self.mark_written(segment, batch)
            return
        done, whole = 0, len(fresh)
        for item in batch:
            if whole + len(item[3]) > written:
                break
            done, whole = done + 1, whole + len(item[3])
        self.mark_written(segment, batch[:done])
        self.truncate_segment(segment, segment.size - written + (whole if done else 0))
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def mark_written(self, segment: Segment, batch: list[tuple[int, int, str, bytes]]) -> None:
        for message, kind, endpoint, _ in batch:
            if kind in form.COPIED_KINDS:
                self.record_location(segment, message, endpoint, kind)
        if batch is self.pending:
            self.pending, self.pending_size = [], 0
        else:
            del self.pending[: len(batch)]
            self.pending_size -= sum(len(item[3]) for item in batch)

    def record_location(self, segment: Segment, message: int, endpoint: str, kind: int) -> None:
        """A record stands in the segment now."""
        if kind == form.MESSAGE or kind == form.RECEIVED:
            if (entry := self.live.get(message)) is not None:
                if entry.segment is not None:
                    entry.segment.live.pop(message, None)
                    self.last_copy = (segment, segment.size)
                entry.segment = segment
                segment.live[message] = None
        elif kind == form.COLD and endpoint in self.cold:
            if (home := self.cold_homes.get(endpoint)) is not None:
                home.cold.discard(endpoint)
                self.last_copy = (segment, segment.size)
            self.cold_homes[endpoint] = segment
            segment.cold.add(endpoint)

    def writable_segment(self, record: int) -> tuple[Segment, bytes]:
        """The segment to write a record of so many bytes to, and its header if that has yet to be written."""
        if self.segments:
            last = self.segments[-1]
            if not last.sealed:
                fits = last.size + record <= self.space.segment
                fits = fits and self.sequence - len(self.pending) - last.base < MAX_SEGMENT_RECORDS
                if fits or last.size <= form.HEADER_SIZE:
                    return last, b"" if last.size else self.header(last)
                self.seal(last)
        base = self.sequence - len(self.pending)
        segment = Segment(self.segments[-1].number + 1 if self.segments else 1, base)
        segment.fd, segment.sealed = self.files.create(segment.name), False
        self.segments.append(segment)
        return segment, self.header(segment)

    def header(self, segment: Segment) -> bytes:
        return form.header(self.identity, segment.number, segment.base, self.sync is not Sync.NONE)

    def append(self, segment: Segment, data: bytes) -> int:
        """Write as much as the disk takes; the segment's size goes up by what it took."""
        size = len(data)
        try:
            written = self.files.write(segment.fd, data)
            while written < size:
                step = self.files.write(segment.fd, memoryview(data)[written:])
                if step <= 0:
                    break
                written += step
        except OSError as error:
            written = self.files.size(segment.fd) - segment.size
            if not written:
                self.remove_headerless(segment)
                raise
            log.debug("the journal took %d of %d bytes: %s", written, len(data), error)
        self.set_segment_size(segment, segment.size + written)
        return written

    def set_segment_size(self, segment: Segment, size: int) -> None:
        self.used += (
            -(-size // BLOCK) - -(-segment.size // BLOCK)
        ) * BLOCK  # `allocated_size`, at every write
        segment.size = size

    def truncate_segment(self, segment: Segment, size: int) -> None:
        """Take back the torn end of a write. Where that fails too, the segment is left with it: nothing
        more is written there, and replay knows a torn end from damage by the sequence numbers."""
        try:
            self.files.truncate(segment.fd, size)
            self.set_segment_size(segment, size)
        except OSError as error:
            log.warning("journal: a torn end stays in %s: %s", segment.name, error)
            self.seal(segment)
        self.remove_headerless(segment)

    def remove_headerless(self, segment: Segment) -> None:
        """A segment that holds no header is of no use, and its number is free."""
        if segment.size < form.HEADER_SIZE:
            self.set_segment_size(segment, 0)
            self.seal(segment)
            with contextlib.suppress(OSError):
                self.files.unlink(segment.name)
            self.segments.remove(segment)

    def seal(self, segment: Segment) -> None:
        """Nothing more is written there. The file stays open until it is safe, where that is wanted."""
        segment.sealed = True
        if segment.fd >= 0 and (self.sync is Sync.NONE or segment.durable_bytes >= segment.size):
            fd, segment.fd = segment.fd, -1
            self.files.close(fd)

    # Sync: after one that failed, nobody knows what the file holds, and a second one that succeeds proves
    # nothing (fsyncgate, 2018). So all that is live is written anew into another segment.

    def sync_now(self) -> None:
        """Return once all that was flushed outlasts the machine's power; an `OSError` where it may not."""
        if (group := self.sync_group()) is not None:
            try:
                group.run()
            except OSError:
                self.rewrite_live_entries()
                raise
            group.done()

    def sync_group(self) -> SyncGroup | None:
        """What was flushed so far, to be made safe; None if it is. Its `run` may go on in another thread
        beside further flushes. An `OSError` where no descriptor is left: then nothing has changed."""
        due = [s for s in self.segments if s.fd >= 0 and (s.durable_bytes < s.size or not s.name_durable)]
        if not due and not self.folder_unsynced:
            return None
        parts: list[tuple[Segment, int, int]] = []
        try:
            for segment in due:
                parts.append((segment, self.files.duplicate(segment.fd), segment.size))
        except OSError:
            for _, fd, _ in parts:
                self.files.close(fd)
            raise
        return SyncGroup(
            self, parts, self.folder_unsynced or not all(segment.name_durable for segment in due)
        )

    def rewrite_live_entries(self) -> None:
        """A sync has failed."""
        for segment in self.segments:
            segment.sealed = True
            if segment.fd >= 0:
                fd, segment.fd = segment.fd, -1
                self.files.close(fd)
        known = {item[0] for item in self.pending if item[1] in (form.MESSAGE, form.RECEIVED)}
        for endpoint in self.cold:
            self.append_cold(endpoint)
        for entry in self.live.values():
            if entry.number not in known:
                self.append_entry(entry)
        self.write_failing = True
        log.error("the journal's disk failed to sync: %d live messages are written anew", len(self.live))

    def copies_durable(self) -> bool:
        """Whether all that compaction has copied outlasts the power, as far as that is wanted."""
        if self.sync is Sync.NONE:
            return True
        return not self.folder_unsynced and (
            self.last_copy is None or self.last_copy[0].durable_bytes >= self.last_copy[1]
        )

    # Relief

    def free_space(self) -> None:
        """The disk is full: give back the reserve, damaged files and segments that hold nothing live, so
        that outcomes, notices and ends find room."""
        if self.reserve:
            with contextlib.suppress(OSError):
                self.files.unlink(RESERVE)
            self.used -= allocated_size(self.reserve)
            self.reserve = 0
        self.reserve_due = self.clock() + RESERVE_RETRY_S
        self.delete_damaged_files()
        with contextlib.suppress(OSError):
            self.remove_dead_segments(len(self.segments))

    def delete_damaged_files(self) -> None:
        for name in list(self.damaged_files):
            with contextlib.suppress(OSError):
                self.files.unlink(name)
                self.used -= self.damaged_files.pop(name)

    def make_room(self, size: int) -> None:
        """Make room for so many bytes under the limit, at the cost of what matters least; an `OSError` where
        there is none."""
        if self.reserve:
            self.free_space()
        self.delete_damaged_files()
        if self.used + size > self.space.disk:
            raise OSError(errno.ENOSPC, "the journal has taken all of its disk_mb")

    def allocate_reserve(self) -> None:
        """Real bytes on the disk, since a file of holes takes no room."""
        size = self.space.reserve
        if self.reserve == size or self.clock() < self.reserve_due:
            return
        self.reserve_due = self.clock() + RESERVE_RETRY_S
        if self.used + allocated_size(size) > self.space.disk:
            return
        try:
            fd = self.files.create(RESERVE)
            try:
                written = self.files.write(fd, bytes(size))
            finally:
                self.files.close(fd)
        except OSError:
            written = 0
        if written == size:
            self.reserve = size
            self.used += allocated_size(size)
        else:
            with contextlib.suppress(OSError):
                self.files.unlink(RESERVE)

    def open_answers(self) -> None:
        """Have the answer file ready, in real bytes; nothing new is taken on without it."""
        if self.answers.fd >= 0 or self.clock() < self.answers_due:
            return
        self.answers_due = self.clock() + RESERVE_RETRY_S
        try:
            size = self.files.names().get(ANSWERS, 0)
            if not size and self.used + ANSWERS_SIZE > self.space.disk:
                return
            self.answers.open(self.identity, self.initial_marks())
            self.used += ANSWERS_SIZE - allocated_size(size)
        except OSError as error:
            log.error("the journal's answers cannot be kept, nothing is taken on: %s", error)

    def initial_marks(self) -> Marks:
        """Those that the file has, if they are of this run of the machine; else such as leave in doubt what
        is, until its refusal is recorded."""
        if self.marks is not None and self.marks.boot == self.boot and any(self.boot):
            return self.marks
        oldest = min(self.in_doubt, default=self.highest + 1)
        return Marks(self.boot, oldest - 1, self.highest)

    # Compaction

    def maintain(self) -> None:
        """A bit of compaction, and the reserve. Never fails: what the disk does not take is tried again."""
        segments = self.segments
        if len(segments) > 1:
            oldest = segments[0]
            dead = not oldest.live and not oldest.cold
            if dead or self.crowded():
                self.run_compaction()
        if self.reserve != self.space.reserve:
            self.allocate_reserve()

    def crowded(self, share: float = 1.0) -> bool:
        """Whether old segments are to be worked off, as the disk fills or a start would read too much; with a
        share, whether that is so near."""
        records = self.sequence - self.segments[0].base
        most = MAX_REPLAY_RECORDS + MAX_REPLAY_RECORDS_PER_ENTRY * len(self.live)
        full = (
            self.used > share * self.space.compaction_start_bytes
            or len(self.segments) > share * self.space.segments
        )
        return full or records > share * most

    def run_compaction(self) -> None:
        try:
            self.remove_dead_segments()
            if self.pending:
                return
            if self.crowded():
                self.step()
            while self.used > self.space.compact_by and len(self.segments) > 1:
                moved = self.step()
                if self.sync is not Sync.NONE:
                    self.sync_now()
                if not (self.remove_dead_segments() or moved):
                    break
        except OSError as error:
            log.info("journal: compaction waits: %s", error)
            self.free_space()

    def step(self) -> bool:
        """Copy some of the oldest segment's live messages forward, and drop the segment when none is left.
        A copy is one record with all that is known, so a crash leaves the original, or both, or the copy.
        False where nothing could be done."""
        if self.pending or len(self.segments) < 2:
            return False
        oldest = self.segments[0]
        size = 0
        for count, number in enumerate(oldest.live):
            entry = self.live[number]
            self.append_entry(entry)
            size += len(entry.body) + len(entry.attributes)
            if count + 1 >= MAX_COPIES_PER_STEP or size >= MAX_COPIED_BYTES_PER_STEP:
                break
        for endpoint in oldest.cold:
            self.append_cold(endpoint)
        moved = bool(self.pending)
        if moved:
            try:
                self.write_pending()
            except OSError:
                self.discard_pending()  # copies only: the originals stand where they stood
                self.write_failing = False
                raise
        return self.remove_dead_segments() or moved

    def remove_dead_segments(self, most: int = MAX_UNLINKS_PER_FLUSH) -> bool:
        """Drop segments from the oldest on while they hold nothing live: never one in the middle, since what
        ended there may have begun in an older one."""
        dropped = 0
        while (
            dropped < most
            and len(self.segments) > 1
            and not self.segments[0].live
            and not self.segments[0].cold
        ):
            if self.sync is Sync.ALWAYS:
                self.sync_now()
            if not self.copies_durable():  # the copies, before the originals go
                break
            oldest = self.segments[0]
            oldest.durable_bytes = oldest.size  # nothing of it is wanted any more
            self.seal(oldest)
            if oldest.damaged and self.used + oldest.size < self.space.compaction_start_bytes:
                self.files.rename(oldest.name, DAMAGED_PREFIX + oldest.name)
                self.damaged_files[DAMAGED_PREFIX + oldest.name] = allocated_size(oldest.size)
                log.warning("journal: the damaged file is kept as %s", DAMAGED_PREFIX + oldest.name)
            else:
                self.files.unlink(oldest.name)
                self.used -= allocated_size(oldest.size)
            self.segments.pop(0)
            self.folder_unsynced = (
                self.sync is not Sync.NONE
            )  # or a power cut could bring back this and not the next
            dropped += 1
        return dropped > 0

    def compact(self) -> None:
        """All of it at once: for the command line, with the dispatcher down."""
        if self.segments:
            self.roll()
            first_new_segment = self.segments[-1].number
            while self.segments[0].number < first_new_segment and self.step():
                if self.sync is not Sync.NONE:
                    self.sync_now()
            self.remove_dead_segments(len(self.segments))

    def roll(self) -> None:
        """Go on in a new segment."""
        if self.segments:
            self.seal(self.segments[-1])
        segment, fresh = self.writable_segment(0)
        if fresh and self.append(segment, fresh) < len(fresh):
            self.truncate_segment(segment, 0)
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    # Reading

    def replay(self) -> None:
        """Learn what is live from the files; changes nothing."""
        names = self.files.names()
        self.used = sum(allocated_size(size) for size in names.values())
        self.reserve = names.get(RESERVE, 0)
        self.damaged_files = {
            name: allocated_size(size) for name, size in names.items() if name.startswith(DAMAGED_PREFIX)
        }
        if legacy.NAME in names:
            self.live, self.cold, bad = legacy.read(self.files.read(legacy.NAME))
            self.report.migrated, self.report.lost = len(self.live), bad
        else:
            replay = Replay(self.files)
            replay.read(names)
            self.live, self.cold, self.cold_homes = replay.live, replay.cold, replay.cold_homes
            self.segments, self.identity, self.sequence = replay.segments, replay.identity, replay.sequence
            self.highest, self.report = replay.highest, replay.report
            self.settle_acceptances(names, replay.answer_tracker)
        self.live_bytes = sum(map(self.reserved_bytes, self.live.values()))
        self.highest = max(self.live, default=0) if self.report.migrated else self.highest

    def settle_acceptances(self, names: dict[str, int], answer_tracker: AnswerTracker) -> None:
        """What nobody was told of is dropped, what is in doubt stays until its refusal is told."""
        if ANSWERS in names:
            self.marks = read_marks(self.files.read(ANSWERS), self.identity)
        unanswered_messages = answer_tracker.classify(self.live, self.marks, self.boot)
        self.dropped = [self.live[number] for number in unanswered_messages.unanswered]
        for entry in self.dropped:
            self.drop(entry.number)
        self.in_doubt = unanswered_messages.in_doubt
        self.unanswered |= set(unanswered_messages.in_doubt)
        if self.marks is not None:
            self.highest = max(self.highest, self.marks.answering)

    # Recovery: each step may be the last of this life, and the next begins from the start

    def recover(self) -> None:
        names = self.files.names()
        for name in (legacy.DRAFT, *([RESERVE] if self.reserve != self.space.reserve else [])):
            if name in names:
                self.files.unlink(name)
                self.used -= allocated_size(names[name])
                if name == RESERVE:
                    self.reserve = 0
        if self.report.damaged or self.report.lost or self.report.unreadable:
            log.error(
                "the journal was damaged: %d records lost, %d bytes unreadable, %d files without a header; "
                "%d messages may have lost an attempt and count as possibly run",
                self.report.lost,
                self.report.damaged,
                len(self.report.unreadable),
                self.report.possibly_run,
            )
        if legacy.NAME in names:
            self.migrate_legacy(names)
        if not self.identity:
            self.identity = os.urandom(16)
        if self.sync is not Sync.NONE:
            for segment in self.segments:  # an earlier process may have been killed before its sync
                self.files.sync_name(segment.name)
                segment.durable_bytes, segment.name_durable = segment.size, True
            self.files.sync_folder()
        for segment in [s for s in self.segments if s.size < form.HEADER_SIZE]:
            self.files.unlink(segment.name)
            self.used -= allocated_size(segment.size)
            self.segments.remove(segment)
        for entry in self.dropped:  # before any later answer, behind which they would count as answered
            self.append_record(entry.number, form.END, form.NUMBER.pack(entry.number))
        if self.dropped:
            try:
                self.flush()
            except OSError as error:
                log.error("the journal cannot be written: %s", error)
        self.open_answers()
        self.maintain()

    def migrate_legacy(self, names: dict[str, int]) -> None:
        """Bring the JSON journal over: its file goes last, and until then it alone counts."""
        for name in (n for n in names if n.startswith(PREFIX)):
            self.files.unlink(name)
            self.used -= allocated_size(names[name])
        self.identity = os.urandom(16)
        for endpoint in self.cold:
            self.append_cold(endpoint)
        for entry in self.live.values():
            self.append_record(entry.number, form.MESSAGE, form.message_payload(entry))
        if self.pending:
            self.write_pending()
        if self.sync is not Sync.NONE:
            self.sync_now()
        self.files.unlink(legacy.NAME)
        self.used -= allocated_size(names[legacy.NAME])
        log.info("the journal of an earlier build was carried over: %d messages", len(self.live))

    def entries(self) -> list[JournalEntry]:
        """What is live, in the order of taking: `live` has what compaction copied behind the rest."""
        return sorted(self.live.values(), key=lambda entry: entry.number)
