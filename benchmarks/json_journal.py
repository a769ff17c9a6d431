"""The journal as it was before the binary format, frozen as a baseline: append, replay, compact.

A record is a line: the CRC-32 of its text in hex, a space, and a JSON list that begins with what happened.
Nothing is synced, since what was written outlasts the process. Times are Unix time in seconds here.
"""

from __future__ import annotations

import base64
import json
import logging
import os
import zlib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

log = logging.getLogger(__name__)

COMPACT_SHARE = 0.5  # of the disk: a longer journal is written anew, with what is live only
LIVE_SHARE = 0.4  # of the disk: what is live may take so much, so that old and new fit side by side
RECORD_ROOM = 400  # bytes that a live message's records take beyond its body, written anew


@dataclass(slots=True)
class JournalEntry:
    """A message that was taken on and is not over, as far as the journal knows."""

    number: int  # never used twice while the journal lasts: an id may be, when its first message has ended
    id: bytes
    cls: str
    destination: int
    deadline: float
    body: bytes
    key: int = 0
    again: bool = False
    attempts: int = 0
    out: dict[int, tuple[str, float]] = field(default_factory=dict)  # attempts with no outcome: where, when
    ran: tuple[str, float] | None = None  # the first attempt that had an outcome and may have run
    notice: tuple[str, float] | None = None  # it has ended; the platform has yet to be told how

    @property
    def first_run(self) -> tuple[str, float] | None:
        """Where and when it may have run first; an attempt without an outcome may have."""
        runs = [*self.out.values(), *([self.ran] if self.ran else [])]
        return min(runs, key=lambda run: run[1], default=None)

    @property
    def size(self) -> int:
        return RECORD_ROOM + len(self.body) * 4 // 3


class Journal:
    """What is live (`live`, by number) and the file from which a later process learns the same."""

    def __init__(self, folder: Path, disk_bytes: float) -> None:
        self.path, self.draft = folder / "journal", folder / "journal.new"
        self.disk_bytes = disk_bytes
        self.live: dict[int, JournalEntry] = {}
        self.cold: dict[str, float] = {}  # endpoints in or after an outage, and the pace they took before
        self.live_bytes = 0
        self.lines: list[bytes] = []
        self.fd, self.size = -1, 0
        self.broken = False  # a write failed: the file no longer tells all that is live
        self.replay()
        self.compact()

    # What can happen to a message. Nothing is on disk before `flush`.

    def record_accepted(self, kept: JournalEntry) -> None:
        self.lines.append(self.line(*self.taken(kept)))
        self.keep(kept)

    def record_attempt(self, message: int, number: int, endpoint: str, at: float) -> None:
        self.note("try", message, number, endpoint, at)

    def record_outcome(self, message: int, number: int, may_have_run: bool) -> None:
        self.note("got", message, number, may_have_run)

    def record_notice(self, message: int, result: str, wait_ms: float) -> None:
        """The message has ended, and the platform must be told."""
        self.note("owe", message, result, wait_ms)

    def record_end(self, message: int) -> None:
        """Nothing more is owed."""
        self.note("end", message)

    def record_cold(self, endpoint: str, pace_per_s: float) -> None:
        """The decisions take the endpoint to be cold."""
        self.note("cold", endpoint, pace_per_s)

    def record_warm(self, endpoint: str) -> None:
        """It is warm, or gone."""
        if endpoint in self.cold:
            self.note("warm", endpoint)

    def has_room(self, body: int) -> bool:
        return self.live_bytes + RECORD_ROOM + body * 4 // 3 <= LIVE_SHARE * self.disk_bytes

    def flush(self) -> None:
        """Write what was noted; an `OSError` if the disk does not take it."""
        if not self.lines:
            return
        data = b"".join(self.lines)
        self.lines.clear()
        if self.broken or self.size + len(data) > COMPACT_SHARE * self.disk_bytes:
            self.broken = True
            self.compact()
            self.broken = False
            return
        self.broken = True
        self.write(self.fd, data)
        self.broken = False
        self.size += len(data)

    # Records

    @staticmethod
    def taken(kept: JournalEntry) -> tuple[Any, ...]:
        name, body = kept.id.decode("latin-1"), base64.b64encode(kept.body).decode()
        told = (name, kept.cls, kept.destination, kept.deadline, kept.key, kept.again, body)
        return "take", kept.number, *told

    @staticmethod
    def line(*record: Any) -> bytes:
        text = json.dumps(record, separators=(",", ":")).encode()
        return b"%08x %s\n" % (zlib.crc32(text), text)

    @staticmethod
    def record(line: bytes) -> list[Any]:
        crc, _, text = line.partition(b" ")
        if len(crc) != 8 or int(crc, 16) != zlib.crc32(text):
            raise ValueError("its checksum is wrong")
        return json.loads(text)

    def note(self, *record: Any) -> None:
        self.lines.append(self.line(*record))
        self.apply(*record)

    def keep(self, kept: JournalEntry) -> None:
        self.live[kept.number] = kept
        self.live_bytes += kept.size

    def apply(self, what: str, subject: Any, *rest: Any) -> None:
        """Follow one record, new or replayed."""
        if what == "cold":
            self.cold[subject] = float(rest[0])
            return
        if what == "warm":
            self.cold.pop(subject, None)
            return
        if what == "take":
            name, cls, destination, deadline, key, again, body = rest
            body = base64.b64decode(body)
            self.keep(
                JournalEntry(subject, name.encode("latin-1"), cls, destination, deadline, body, key, again)
            )
            return
        kept = self.live[subject]
        if what == "try":
            number, endpoint, at = rest
            kept.out[number] = (endpoint, at)
            kept.attempts = max(kept.attempts, number + 1)
        elif what == "got":
            number, may_have_run = rest
            where = kept.out.pop(number)
            if may_have_run and (kept.ran is None or where[1] < kept.ran[1]):
                kept.ran = where
        elif what == "sum":
            kept.attempts, ran = rest
            kept.ran = tuple(ran) if ran else None
        elif what == "owe":
            kept.notice = (rest[0], rest[1])
            self.live_bytes -= kept.size
            kept.body = b""
            self.live_bytes += kept.size
        elif what == "end":
            self.live_bytes -= self.live.pop(subject).size
        else:
            raise ValueError(f"it tells of {what!r}")

    # The file

    def replay(self) -> None:
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return
        lines = data.split(b"\n")
        if lines.pop():  # a process that is killed while it writes leaves a torn last record
            log.info("journal: the last record is torn and is left out")
        for number, line in enumerate(lines, 1):
            if not line:
                continue
            try:
                self.apply(*self.record(line))
            except (ValueError, TypeError, KeyError) as error:
                log.warning("journal: record %d is skipped: %s: %s", number, type(error).__name__, error)

    def compact(self) -> None:
        """Write what is live into a new file and put that in the place of the old one."""
        lines = [self.line("cold", endpoint, pace) for endpoint, pace in self.cold.items()]
        for kept in self.live.values():
            lines.append(self.line(*self.taken(kept)))
            if kept.attempts:
                lines.append(self.line("sum", kept.number, kept.attempts, kept.ran))
            lines += (self.line("try", kept.number, number, *where) for number, where in kept.out.items())
            if kept.notice:
                lines.append(self.line("owe", kept.number, *kept.notice))
        data = b"".join(lines)
        fd = os.open(self.draft, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            self.write(fd, data)
            os.replace(self.draft, self.path)
        except OSError:
            os.close(fd)
            raise
        if self.fd >= 0:
            os.close(self.fd)
        self.fd, self.size = fd, len(data)

    @staticmethod
    def write(fd: int, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(fd, rest) :]
