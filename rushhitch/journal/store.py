"""The journal: live messages, the segments that hold their records, writing, syncing and compaction.

Nothing is on disk before `flush`. Records that a flush could not write stay pending, in order, and are
written first by the next one, so the disk always holds a prefix of the history. Compaction copies the live
messages of the oldest segment to the end of the journal and then removes it, in small steps with each flush.
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
MAX_COPIES_PER_STEP = 128  # copied forward per flush; takes well under a millisecond
MAX_COPIED_BYTES_PER_STEP = 131_072  # of message bodies
MAX_SEGMENT_RECORDS = 4_096  # also bounds segments of small records, so that they are given back
# Compaction keeps the records that a start replays below the sum of these, so that a start stays short.
MAX_REPLAY_RECORDS = 8_192
MAX_REPLAY_RECORDS_PER_ENTRY = 4  # per live message: at most one copy forward per three records
MAX_UNLINKS_PER_FLUSH = 2  # each takes up to a millisecond
RESERVE_RETRY_S = 1.0  # between attempts to allocate the reserve, or the answer file, on a full disk


class Sync(Enum):
    """Durability promised by an answer: against a process crash (`NONE`), or a power failure as well."""

    NONE = "none"
    BATCH = "batch"
    ALWAYS = "always"


@dataclass(slots=True)
class SyncGroup:
    """A group of flushed bytes to be synced."""

    journal: Journal
    parts: list[tuple[Segment, int, int]]  # segment, duplicate descriptor, size in bytes to sync
    folder: bool

    def run(self) -> None:
        """Sync, in any thread, once. Raises `OSError` if the disk fails."""
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
        """Mark the bytes as durable; called in the journal's thread after `run` has returned."""
        for segment, _, size in self.parts:
            segment.durable_bytes, segment.name_durable = max(segment.durable_bytes, size), True
            if segment.sealed:
                self.journal.seal(segment)
        if self.folder:
            self.journal.folder_unsynced = False


class Journal:
    """The live messages (`live`, by number), the cold endpoints (`cold`), and the files to recover both from.

    `disk_bytes` limits the size of the folder. `lock` is the descriptor of a lock taken over from another
    process, `boot` replaces the boot id of the machine. Raises `JournalError` if another process holds the
    folder or a newer version wrote it, `OSError` if the disk fails."""

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
        self.unanswered: set[int] = set()  # in `live`: recorded, but not known to have been answered
        self.in_doubt: list[int] = []  # of these, after replay: their clients may have been answered
        self.marks: Marks | None = None  # content of the answer file at the start
        self.answers = AnswerFile(self.files)
        self.answers_due = -float("inf")  # earliest time of the next attempt to create that file
        self.cold: dict[str, float] = {}  # calls per second before an outage, by endpoint in or after one
        self.cold_segments: dict[str, Segment] = {}
        self.live_bytes = 0
        self.highest = 0  # message number ever used, as far as the files record
        self.identity = b""
        self.segments: list[Segment] = []
        self.used = 0  # bytes of all files, in whole blocks of `BLOCK`
        self.sequence = 0  # of the next record
        self.last_copy: tuple[Segment, int] | None = None  # where the newest copy by compaction ends
        self.folder_unsynced = False  # a segment was unlinked since the folder was synced
        self.pending: list[tuple[int, int, str, bytes]] = []  # message, kind, endpoint, record
        self.pending_size = 0
        self.write_failing = False  # the last write failed
        self.reserve = 0
        self.reserve_due = -float("inf")
        self.dropped: list[JournalEntry] = []  # by replay: their clients were never answered
        self.damaged_files: dict[str, int] = {}  # allocated sizes of damaged segments kept for inspection
        self.report = ReplayReport()
        if writable and not self.files.lock(LOCK):
            raise FolderInUseError(
                f"{folder} is held by another process: stop that one first, or use another folder"
            )
        gc_was_enabled = gc.isenabled()
        gc.disable()  # replay creates many objects, none garbage, that each collection would traverse
        try:
            self.replay()
            if writable:
                self.recover()
        except BaseException:
            self.files.unlock()
            raise
        finally:
            if gc_was_enabled:
                gc.enable()

    def close(self) -> None:
        """Release the folder. Records not flushed are lost."""
        self.close_segments()
        self.files.unlock()

    def hand_over(self) -> int:
        """Stop writing and return the descriptor of the lock, for the successor process. While it is open
        in any process, no other one can take the folder."""
        self.close_segments()
        fd, self.files.lock_fd = self.files.lock_fd, -1
        return fd

    def close_segments(self) -> None:
        self.answers.close()
        for segment in self.segments:
            if segment.fd >= 0:
                fd, segment.fd = segment.fd, -1
                self.files.close(fd)

    # Events of a message. Nothing is on disk before `flush`.

    def record_accepted(self, entry: JournalEntry) -> None:
        self.live[entry.number] = entry
        self.live_bytes += self.reserved_bytes(entry)
        if entry.number > self.highest:
            self.highest = entry.number
        self.append_record(entry.number, form.MESSAGE, form.message_payload(entry))

    def record_received(self, entry: JournalEntry) -> None:
        """Record a message whose client has no answer yet. Replay after a kill drops it."""
        self.unanswered.add(entry.number)
        self.live[entry.number] = entry
        self.live_bytes += self.reserved_bytes(entry)
        self.highest = max(self.highest, entry.number)
        self.append_entry(entry)

    def begin_answer(self, number: int) -> None:
        """Record that the client of message `number` is about to be answered. Raises `OSError` if the disk
        fails: the client must not be answered then. Pending records are written first, since afterwards
        all lower numbers count as answered, except for those whose end is in the journal."""
        if number in self.unanswered and self.sync is not Sync.NONE:
            self.append_record(number, form.ACCEPTED, form.NUMBER.pack(number))
        if self.pending:
            self.flush(sync=False)
        self.answers.begin(number)

    def finish_answer(self, number: int) -> None:
        """Record that the kernel has taken the whole answer. If that cannot be written, the message stays
        in doubt until the next answer."""
        try:
            self.answers.done(number)
        except OSError as error:
            log.error("the journal's answer file cannot be written: %s", error)
        self.unanswered.discard(number)

    def append_entry(self, entry: JournalEntry) -> None:
        """Append the whole state of a live message as one record."""
        unanswered = entry.number in self.unanswered
        if unanswered and self.sync is not Sync.NONE:
            self.append_record(entry.number, form.RECEIVED, self.boot + form.message_payload(entry))
        else:
            self.append_record(entry.number, form.MESSAGE, form.message_payload(entry, unanswered))

    def record_attempt(self, message: int, number: int, endpoint: str, at: float) -> None:
        entry = self.live[message]
        entry.out[number] = (endpoint, at)
        if number >= entry.attempts:
            entry.attempts = number + 1
        self.append_record(
            message, form.ATTEMPT, form.ATTEMPT_HEAD.pack(message, number, at) + endpoint.encode()
        )

    def record_awaiting_ack(self, message: int, number: int) -> None:
        """The attempt was answered and stays in flight until its acknowledgement comes."""
        self.live[message].awaiting_ack = number
        self.append_record(message, form.AWAITING_ACK, form.ATTEMPT_KEY.pack(message, number))

    def record_not_run(self, message: int, number: int, mark: bytes) -> None:
        """An acknowledgement, identified by `mark`, says that the attempt never ran."""
        entry = self.live[message]
        entry.attempt_ended(number, may_have_run=False)
        entry.marks.append(mark)
        self.append_record(message, form.NOT_RUN, form.ATTEMPT_KEY.pack(message, number) + mark)

    def record_outcome(self, message: int, number: int, may_have_run: bool) -> None:
        self.live[message].attempt_ended(number, may_have_run)
        self.append_record(message, form.OUTCOME, form.OUTCOME_HEAD.pack(message, number, may_have_run))

    def record_notice(self, message: int, result: str, wait_ms: float) -> None:
        """The message has ended; the platform has yet to be notified. It may retry after `wait_ms`."""
        self.set_notice(self.live[message], result, wait_ms)
        self.append_record(message, form.NOTICE, form.NOTICE_HEAD.pack(message, wait_ms) + result.encode())

    def set_notice(self, entry: JournalEntry, result: str, wait_ms: float) -> None:
        self.live_bytes -= self.reserved_bytes(entry)
        entry.notice, entry.body, entry.attributes = (result, wait_ms), b"", b""
        self.live_bytes += self.reserved_bytes(entry)

    def record_end(self, message: int) -> None:
        """Nothing is left to do for the message. Its pending records are discarded; if it is in no file at
        all, nothing is written."""
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
        """The endpoint is cold; it took `pace_per_s` calls per second before."""
        forget_cold(endpoint, self.cold, self.cold_segments)
        self.cold[endpoint] = pace_per_s
        self.append_cold(endpoint)

    def record_warm(self, endpoint: str) -> None:
        """The endpoint is warm, or no longer listed."""
        if endpoint in self.cold:
            forget_cold(endpoint, self.cold, self.cold_segments)
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
        identifiers = len(entry.tenant) + len(entry.idempotency)
        return RECORD_ROOM + identifiers + len(entry.body) + len(entry.attributes)

    def has_room(self, body: int) -> bool:
        """Whether a message with a body of `body` bytes may be accepted. False while the disk is full."""
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
        """Whether records are pending because a write failed."""
        return self.write_failing and bool(self.pending)

    # Writing

    def flush(self, sync: bool = True) -> None:
        """Write pending records; raises `OSError` if the disk does not take all of them. Without `sync` they
        survive only a crash of the process, whatever `Sync` the journal has."""
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
        """Write as many pending records as fit the current segment."""
        pending = self.pending
        segment, header_bytes = self.writable_segment(len(pending[0][3]))
        size = segment.size + len(header_bytes) + self.pending_size
        if size <= self.space.segment:
            batch = pending
        else:
            batch, size = [], segment.size + len(header_bytes)
            for item in pending:
                if batch and size + len(item[3]) > self.space.segment:
                    break
                batch.append(item)
                size += len(item[3])
        data = b"".join([header_bytes, *[item[3] for item in batch]])
        if self.used + len(data) + BLOCK > self.space.disk:
            self.make_room(allocated_size(size) - allocated_size(segment.size))
        written = self.append(segment, data)
        if written == len(data):
            self.mark_written(segment, batch)
            return
        done, whole_bytes = 0, len(header_bytes)
        for item in batch:
            if whole_bytes + len(item[3]) > written:
                break
            done, whole_bytes = done + 1, whole_bytes + len(item[3])
        self.mark_written(segment, batch[:done])
        self.truncate_segment(segment, segment.size - written + (whole_bytes if done else 0))
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
        """Note that a full record is now in the segment."""
        if kind == form.MESSAGE or kind == form.RECEIVED:
            if (entry := self.live.get(message)) is not None:
                if entry.segment is not None:
                    entry.segment.live.pop(message, None)
                    self.last_copy = (segment, segment.size)
                entry.segment = segment
                segment.live[message] = None
        elif kind == form.COLD and endpoint in self.cold:
            if (previous := self.cold_segments.get(endpoint)) is not None:
                previous.cold.discard(endpoint)
                self.last_copy = (segment, segment.size)
            self.cold_segments[endpoint] = segment
            segment.cold.add(endpoint)

    def writable_segment(self, record: int) -> tuple[Segment, bytes]:
        """The segment for a record of `record` bytes, and its header if that is not written yet."""
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
        """Write as much as the disk takes and grow the segment by that. Returns the bytes written."""
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
        # `allocated_size` inlined, since this runs at every write.
        self.used += (-(-size // BLOCK) - -(-segment.size // BLOCK)) * BLOCK
        segment.size = size

    def truncate_segment(self, segment: Segment, size: int) -> None:
        """Cut off an incomplete write. If that fails too, the segment is sealed as it is: replay tells an
        incomplete end from damage by the sequence numbers."""
        try:
            self.files.truncate(segment.fd, size)
            self.set_segment_size(segment, size)
        except OSError as error:
            log.warning("journal: cannot truncate the incomplete end of %s: %s", segment.name, error)
            self.seal(segment)
        self.remove_headerless(segment)

    def remove_headerless(self, segment: Segment) -> None:
        """Remove a segment without a header; its number may be used again."""
        if segment.size < form.HEADER_SIZE:
            self.set_segment_size(segment, 0)
            self.seal(segment)
            with contextlib.suppress(OSError):
                self.files.unlink(segment.name)
            self.segments.remove(segment)

    def seal(self, segment: Segment) -> None:
        """End writing to the segment. With syncs, its descriptor stays open until it is durable."""
        segment.sealed = True
        if segment.fd >= 0 and (self.sync is Sync.NONE or segment.durable_bytes >= segment.size):
            fd, segment.fd = segment.fd, -1
            self.files.close(fd)

    # Sync. After a failed fsync the content of the file is unknown, and a later fsync that succeeds proves
    # nothing (fsyncgate, 2018). So all live messages are then rewritten into another segment.

    def sync_now(self) -> None:
        """Make all flushed records durable; raises `OSError` if that fails."""
        if (group := self.sync_group()) is not None:
            try:
                group.run()
            except OSError:
                self.rewrite_live_entries()
                raise
            group.done()

    def sync_group(self) -> SyncGroup | None:
        """The flushed bytes that are not durable yet, or None. Its `run` may work in another thread while
        flushes go on. Raises `OSError`, with nothing changed, if no descriptor is left."""
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
        """After a failed sync: seal all segments and append every live entry again."""
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
        """Whether all copies made by compaction are durable, or need not be."""
        if self.sync is Sync.NONE:
            return True
        return not self.folder_unsynced and (
            self.last_copy is None or self.last_copy[0].durable_bytes >= self.last_copy[1]
        )

    # Freeing space

    def free_space(self) -> None:
        """The disk is full: delete the reserve, damaged files and segments without live entries, so that
        outcomes, notices and ends still fit."""
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
        """Make room for `size` bytes under the limit: the reserve goes first, then damaged files. Raises
        `OSError` if that is not enough."""
        if self.reserve:
            self.free_space()
        self.delete_damaged_files()
        if self.used + size > self.space.disk:
            raise OSError(errno.ENOSPC, "the journal has reached its limit, disk_mb")

    def allocate_reserve(self) -> None:
        """Create the reserve if it is missing. It is written out, since a sparse file reserves no space."""
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
        """Open the answer file, fully allocated; nothing is accepted without it."""
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
            log.error("the journal's answer file cannot be opened, nothing is accepted: %s", error)

    def initial_marks(self) -> Marks:
        """The marks of the file if they are of this boot; otherwise marks that keep all messages in doubt
        so until their refusal is recorded."""
        if self.marks is not None and self.marks.boot == self.boot and any(self.boot):
            return self.marks
        oldest = min(self.in_doubt, default=self.highest + 1)
        return Marks(self.boot, oldest - 1, self.highest)

    # Compaction

    def maintain(self) -> None:
        """Run a step of compaction and restore the reserve. Does not raise: failures are retried later."""
        segments = self.segments
        if len(segments) > 1:
            oldest = segments[0]
            dead = not oldest.live and not oldest.cold
            if dead or self.crowded():
                self.run_compaction()
        if self.reserve != self.space.reserve:
            self.allocate_reserve()

    def crowded(self, share: float = 1.0) -> bool:
        """Whether compaction is due, since the disk fills or a start would replay too much. A `share` below
        1.0 asks whether that fraction of the limits is reached."""
        records = self.sequence - self.segments[0].base
        max_records = MAX_REPLAY_RECORDS + MAX_REPLAY_RECORDS_PER_ENTRY * len(self.live)
        full = (
            self.used > share * self.space.compaction_start_bytes
            or len(self.segments) > share * self.space.segments
        )
        return full or records > share * max_records

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
            log.info("journal: compaction failed, will be retried: %s", error)
            self.free_space()

    def step(self) -> bool:
        """Copy some live messages of the oldest segment forward; remove the segment when none is left. A copy
        is one record with the whole state, so a crash leaves the original, both, or the copy. Returns False
        if nothing could be done."""
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
                self.discard_pending()  # only copies: the originals are still in place
                self.write_failing = False
                raise
        return self.remove_dead_segments() or moved

    def remove_dead_segments(self, max_count: int = MAX_UNLINKS_PER_FLUSH) -> bool:
        """Remove up to `max_count` segments without live entries, oldest first. One in the middle must stay:
        it may hold the end of a message that begins in an older one."""
        dropped = 0
        while (
            dropped < max_count
            and len(self.segments) > 1
            and not self.segments[0].live
            and not self.segments[0].cold
        ):
            if self.sync is Sync.ALWAYS:
                self.sync_now()
            if not self.copies_durable():  # copies must be durable before the originals are removed
                break
            oldest = self.segments[0]
            oldest.durable_bytes = oldest.size  # needs no sync any more
            self.seal(oldest)
            if oldest.damaged and self.used + oldest.size < self.space.compaction_start_bytes:
                self.files.rename(oldest.name, DAMAGED_PREFIX + oldest.name)
                self.damaged_files[DAMAGED_PREFIX + oldest.name] = allocated_size(oldest.size)
                log.warning("journal: damaged segment kept as %s", DAMAGED_PREFIX + oldest.name)
            else:
                self.files.unlink(oldest.name)
                self.used -= allocated_size(oldest.size)
            self.segments.pop(0)
            # Without a folder sync, a power failure could bring back this segment and not the next one.
            self.folder_unsynced = self.sync is not Sync.NONE
            dropped += 1
        return dropped > 0

    def compact(self) -> None:
        """Compact completely. Called by the command line while the dispatcher is stopped."""
        if self.segments:
            self.roll()
            first_new_segment = self.segments[-1].number
            while self.segments[0].number < first_new_segment and self.step():
                if self.sync is not Sync.NONE:
                    self.sync_now()
            self.remove_dead_segments(len(self.segments))

    def roll(self) -> None:
        """Seal the current segment and start a new one."""
        if self.segments:
            self.seal(self.segments[-1])
        segment, header_bytes = self.writable_segment(0)
        if header_bytes and self.append(segment, header_bytes) < len(header_bytes):
            self.truncate_segment(segment, 0)
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    # Reading

    def replay(self) -> None:
        """Rebuild the state from the files. Read-only."""
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
            self.live, self.cold, self.cold_segments = replay.live, replay.cold, replay.cold_segments
            self.segments, self.identity, self.sequence = replay.segments, replay.identity, replay.sequence
            self.highest, self.report = replay.highest, replay.report
            self.settle_acceptances(names, replay.answer_tracker)
        self.live_bytes = sum(map(self.reserved_bytes, self.live.values()))
        self.highest = max(self.live, default=0) if self.report.migrated else self.highest

    def settle_acceptances(self, names: dict[str, int], answer_tracker: AnswerTracker) -> None:
        """Drop messages whose clients were not answered; those in doubt stay until a refusal is recorded."""
        if ANSWERS in names:
            self.marks = read_marks(self.files.read(ANSWERS), self.identity)
        classified = answer_tracker.classify(self.live, self.marks, self.boot)
        self.dropped = [self.live[number] for number in classified.unanswered]
        for entry in self.dropped:
            self.drop(entry.number)
        self.in_doubt = classified.in_doubt
        self.unanswered |= set(classified.in_doubt)
        if self.marks is not None:
            self.highest = max(self.highest, self.marks.answering)

    # Recovery. The process may be killed after any step; the next start then recovers from the beginning.

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
            for segment in self.segments:  # the previous process may have been killed before its sync
                self.files.sync_name(segment.name)
                segment.durable_bytes, segment.name_durable = segment.size, True
            self.files.sync_folder()
        for segment in [s for s in self.segments if s.size < form.HEADER_SIZE]:
            self.files.unlink(segment.name)
            self.used -= allocated_size(segment.size)
            self.segments.remove(segment)
        for entry in self.dropped:  # must precede any later answer, which would make them count as answered
            self.append_record(entry.number, form.END, form.NUMBER.pack(entry.number))
        if self.dropped:
            try:
                self.flush()
            except OSError as error:
                log.error("the journal cannot be written: %s", error)
        self.open_answers()
        self.maintain()

    def migrate_legacy(self, names: dict[str, int]) -> None:
        """Migrate the JSON journal. Its file is removed last; until then it alone is authoritative."""
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
        log.info("migrated the JSON journal of an earlier build: %d messages", len(self.live))

    def entries(self) -> list[JournalEntry]:
        """Live entries in order of acceptance. In `live`, entries copied by compaction come last."""
        return sorted(self.live.values(), key=lambda entry: entry.number)
